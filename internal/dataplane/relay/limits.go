package relay

const (
	// copyBufferBytes is the size of the pooled buffers for copying bodies.
	copyBufferBytes = 32 << 10
	// maxReplayBytes limits the request bodies that are buffered for another
	// attempt.
	maxReplayBytes = 64 << 10
	// maxProblemBytes limits the problem details read from another node.
	maxProblemBytes = 16 << 10
)
