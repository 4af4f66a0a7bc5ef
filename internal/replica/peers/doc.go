// Package peers transfers published items between nodes with JSON-RPC 2.0 over
// TCP. A node keeps the connection to its parent; each other fetch opens one of
// its own.
package peers
