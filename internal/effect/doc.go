// Package effect defines what a node's control logic asks its surroundings to
// do. The runtime carries effects out; a test in virtual time may do so too.
package effect
