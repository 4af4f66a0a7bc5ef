package platformserver

// Stats counts the reads of the platform's clients.
type Stats struct {
	// Reads counts all reads, also those that failed.
	Reads uint64 `json:"calls"`
	// MaxReadsPerSecond is the largest number of reads in one Unix second.
	MaxReadsPerSecond uint64 `json:"maxPerSecond"`
	// ActiveWatches is the number of watches in progress, of values and of the
	// VM list.
	ActiveWatches int64 `json:"waiting"`
	// Bytes is the size of all response bodies.
	Bytes uint64 `json:"bytes"`
}
