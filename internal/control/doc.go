// Package control implements the control logic of a node: group membership,
// platform reads and the distribution of versions. Its methods take the current
// time with a message, a timer firing or a platform answer, and return effects
// for the caller to carry out. The package imports no transport, message codec
// or clock, so the daemon and tests in virtual time run the same code.
package control
