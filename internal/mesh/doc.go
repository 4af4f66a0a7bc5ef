// Package mesh serves calls on VMs whose callers all sit beside a node. The
// node of the caller (entry) chooses an upstream and sends the call to the node
// beside it, which alone admits calls to that upstream. Names of headers come
// from an adapter, so that the same code serves other callers.
package mesh
