package lead

// ValueFile is a file that holds a value to publish under a platform key.
type ValueFile struct {
	Key   string `json:"key"`
	File  string `json:"file"`
	Bytes int    `json:"bytes"`
}
