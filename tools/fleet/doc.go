// Package fleet launches a small fleet of separate processes on loopback
// addresses: the platform stand-in, the delaying link, nodes and upstreams. It
// serves the demonstration and the benches; no process of the system itself
// starts another.
package fleet
