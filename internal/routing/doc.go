// Package routing selects the upstream for a call from the node's member view
// and its own statistics. It does not depend on any transport.
package routing
