// Package sidecar assembles a mesh node: it reads the published items, puts
// them in force and serves the callers on its VM and the other nodes.
package sidecar
