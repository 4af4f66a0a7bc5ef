// Package virtual drives many nodes' control logic in one goroutine and in
// virtual time, with a fake network and a fake platform. It uses the same
// control.Agent as the daemon and serves tests and measurements.
package virtual
