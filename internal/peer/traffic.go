package peer

// Traffic counts sent bytes, dropped and malformed messages and replaced
// connections. Messages lost with a failed connection are not counted.
// Implementations are safe for concurrent use.
type Traffic interface {
	// Sent counts bytes written to a connection, after compression.
	Sent(crossRegion bool, bytes int)
	// Dropped counts messages dropped because a connection's queue was full.
	Dropped()
	// SilentConnection counts connections that were replaced because a probe got
	// no response.
	SilentConnection()
	// Malformed counts incoming messages that cannot be decoded or are too
	// long.
	Malformed()
}
