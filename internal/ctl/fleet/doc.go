// Package fleet asks the administration API of nodes. It reads only, except
// for the log level.
package fleet
