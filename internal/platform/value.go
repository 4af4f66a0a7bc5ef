package platform

// Value is a configuration value at a revision.
type Value struct {
	Revision uint64
	Data     []byte
}
