// Package effect defines the side effects that a node's control logic requests.
// The runtime executes them; tests execute them in virtual time.
package effect
