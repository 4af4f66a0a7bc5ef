// Package admin serves the administration API of a node on a separate listener.
// The API is read-only, except that it can set the log level of the process.
package admin
