package platformserver

// Stats counts the reads of the platform's clients.
type Stats struct {
	Reads uint64 `json:"calls"`
	// MaxReadsPerSecond is the largest number of calls in one second of the clock.
	MaxReadsPerSecond uint64 `json:"maxPerSecond"`
	// ActiveWatches is the number of watches in progress.
	ActiveWatches int64  `json:"waiting"`
	Bytes         uint64 `json:"bytes"`
}
