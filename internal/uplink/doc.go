// Package uplink shares the sending bandwidth of a VM among the responses that
// its node sends. Small responses are sent immediately; large ones are sent in
// chunks, and few bytes are queued in the network at any time, so that large
// responses delay a small one by no more than maxQueueDelay and one chunk.
// A Link of its own shares the receiving bandwidth among large request bodies, each
// of which is received as one chunk.
// Scheduler makes the decisions and uses neither a clock nor a network; Link
// blocks goroutines until the scheduler grants their chunks.
package uplink
