// Package reader selects the nodes that read the platform. The selection needs
// no coordination: each node computes it from its own view of the members.
package reader
