// Package sidecar assembles the node of the fpsidecar daemon. The node reads the
// items that the platform publishes, from the platform or from other nodes,
// applies them and serves calls from callers on its VM and from other nodes.
package sidecar
