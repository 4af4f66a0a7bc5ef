// Package nodes starts complete nodes in one process for tests, with stand-ins
// for the platform, the upstreams and the network.
package nodes
