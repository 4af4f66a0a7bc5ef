package platformserver

// Stats counts the reads of the platform's clients.
type Stats struct {
	Calls uint64 `json:"calls"`
	// MaxPerSecond is the largest number of calls in one second of the clock.
	MaxPerSecond uint64 `json:"maxPerSecond"`
	// Waiting is the number of watches in progress.
	Waiting int64  `json:"waiting"`
	Bytes   uint64 `json:"bytes"`
}
