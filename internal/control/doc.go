// Package control is the control logic of a node: membership, reading the
// platform and spreading versions. Messages, timer firings and platform answers
// come in with the time; effects go out. The package imports no transport,
// codec or clock, so the daemon and tests in virtual time drive the same code.
package control
