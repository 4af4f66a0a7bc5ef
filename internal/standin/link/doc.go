// Package link is a stand-in for the network between availability zones: a TCP
// forwarder that delays each direction, and cuts or silences connections on
// request. It is used by tests and demonstrations only.
package link
