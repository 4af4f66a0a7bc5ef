// Package admission limits the calls that run on one upstream at once and
// queues the others by rank and deadline. The node beside the upstream enforces
// the limit, so it holds exactly for the calls of all nodes together.
package admission
