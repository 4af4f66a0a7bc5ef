// Package peer carries messages between nodes as JSON-RPC 2.0 over TCP. Large
// messages use connections of their own, and connections that no longer respond
// are replaced. Outgoing connections are sharded by address.
package peer
