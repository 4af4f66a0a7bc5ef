// Package peer carries messages between nodes as JSON-RPC 2.0 over TCP. It
// holds connections in shards by address, keeps bulky messages on connections
// of their own, and replaces connections that have gone silent.
package peer
