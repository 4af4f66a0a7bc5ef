package relay

const (
	// copyBufferBytes is the size of the pooled buffers that bodies pass
	// through.
	copyBufferBytes = 32 << 10
	// maxReplayBytes bounds the request bodies kept for another attempt.
	maxReplayBytes = 64 << 10
	// maxProblemBytes bounds the problem details read from another node.
	maxProblemBytes = 16 << 10
)
