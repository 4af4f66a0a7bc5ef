package peers

// wireItem is a replica.Item between nodes. A large value is compressed.
type wireItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Packed   bool   `json:"packed,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}
