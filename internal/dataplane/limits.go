package dataplane

import "time"

const (
	// defaultCatchUp is the default of Config.CatchUpLimit.
	defaultCatchUp = 500 * time.Millisecond
	// maxIdlePerHost bounds kept connections to another node: calls between
	// two nodes rarely overlap more than an upstream has slots.
	maxIdlePerHost = 32
	// idleTimeout closes unused connections.
	idleTimeout = 60 * time.Second
	// dialTimeout bounds a connection attempt.
	dialTimeout = time.Second
	// copyBufferBytes is the size of the pooled buffers that bodies pass
	// through.
	copyBufferBytes = 32 << 10
	// defaultConnections is used until a version tells the upstream's limit.
	defaultConnections = 100
	// replayBytes bounds the request bodies kept for another attempt.
	replayBytes = 64 << 10
	// maxProblemBytes bounds the problem details read from another node.
	maxProblemBytes = 16 << 10
)
