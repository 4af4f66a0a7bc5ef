// Package admission limits the calls that run on one upstream at once and
// queues the others by rank and deadline. The node beside the upstream enforces
// the limit, so it applies exactly to the sum of the calls from all nodes.
package admission
