// Package admin serves the administration API of a node. It is read-only but
// for the log level of the process itself, and has a listener of its own.
package admin
