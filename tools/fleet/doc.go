// Package fleet launches a small fleet of separate processes on loopback
// addresses: the platform stand-in, the link that delays connections, nodes and
// upstreams. It serves the demonstration and the benchmarks; no process of the
// system itself starts another.
package fleet
