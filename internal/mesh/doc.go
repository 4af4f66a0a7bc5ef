// Package mesh implements the data plane of a node on VMs where every caller
// has a node beside it. The caller's node (entry node) chooses an upstream and
// forwards the call to the node beside that upstream; only that node admits
// calls to it. Header names are configurable, so that the same code serves
// callers of other platforms.
package mesh
