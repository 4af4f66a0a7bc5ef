// Package peer carries messages between nodes as JSON-RPC 2.0 over TCP. It
// holds connections in shards by address, sends large messages over connections
// of their own, and replaces connections that no longer respond.
package peer
