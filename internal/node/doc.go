// Package node assembles a node from the control plane, the data plane, the
// peer transport and the administration API. The daemon and tests both use it.
package node
