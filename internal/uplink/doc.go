// Package uplink shares the sending bandwidth of a VM among the answers that
// its node gives to other nodes. Small answers go at once; large ones take
// turns in pieces, so that what was handed to the network is sent within
// milliseconds and a small answer never queues behind large ones. Schedule
// decides, without a clock or a network of its own; Link makes goroutines wait
// for it.
package uplink
