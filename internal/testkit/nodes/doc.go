// Package nodes starts whole nodes with stand-ins for the platform, the
// upstreams and the network in one process, for tests.
package nodes
