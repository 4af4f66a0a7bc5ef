package peer

// Traffic counts the bytes that leave the node. Implementations are safe for
// concurrent use.
type Traffic interface {
	Sent(crossRegion bool, bytes int)
	// Dropped counts messages dropped because a connection's queue was full.
	Dropped()
	// SilentConnection counts connections replaced because they went silent.
	SilentConnection()
	// Malformed counts incoming messages that cannot be decoded or are too
	// long.
	Malformed()
}
