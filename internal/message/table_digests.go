package message

// TableDigests carries the digest of each shard of the sender's member table.
// The receiver sends back the records of the shards that differ, and its own
// digests unless Reply is set.
type TableDigests struct {
	VM      string   `json:"vm"`
	Digests []uint64 `json:"digests"`
	Reply   bool     `json:"reply,omitempty"`
}

// Kind implements Message.
func (*TableDigests) Kind() Kind { return KindTableDigests }
