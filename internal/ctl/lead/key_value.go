package lead

// KeyValue is one value to publish.
type KeyValue struct {
	Key   string `json:"key"`
	File  string `json:"file"`
	Bytes int    `json:"bytes"`
}
