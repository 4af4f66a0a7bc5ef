// Package virtual simulates a fleet: it runs the control logic of many nodes in
// one goroutine and in virtual time, with a fake network and a fake platform.
// It uses the same control.Agent as the daemon and serves tests and measurements.
package virtual
