// Package link is a stand-in for the network between availability zones: a TCP
// forwarder that delays each direction, and closes connections or drops their
// data on request. Only tests, benchmarks and demonstrations use it.
package link
