// Package sidecar assembles a mesh node: it reads the published items, applies
// them and serves calls from the callers on its VM and from other nodes.
package sidecar
