package platformserver

// Stats counts the calls of the readers.
type Stats struct {
	Calls uint64 `json:"calls"`
	// MaxPerSecond is the largest number of calls within one second of the
	// clock.
	MaxPerSecond uint64 `json:"maxPerSecond"`
	// Waiting is the number of watches that wait now.
	Waiting int64  `json:"waiting"`
	Bytes   uint64 `json:"bytes"`
}
