// Package peers transfers published items between nodes with JSON-RPC 2.0 over
// TCP. A node keeps the connection to its parent; other fetches use a connection
// each.
package peers
