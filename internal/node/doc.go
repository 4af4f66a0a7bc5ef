// Package node assembles the node of the fpnode daemon from the control plane,
// the data plane, the peer transport and the administration API.
package node
