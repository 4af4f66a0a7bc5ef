package peers

// wireItem is the wire form of a replica.Item.
type wireItem struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Compressed is set if Value is compressed with zstd.
	Compressed bool `json:"packed,omitempty"`
	// Revision is the number of the item's revision, whose era is the page's.
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}
