package replica

// Page is an answer of the platform or of a peer.
type Page struct {
	Items []Item `json:"items"`
	// Revision is the revision that the answer is complete to.
	Revision uint64 `json:"at"`
	// Fresh is set by a peer that hears from the platform, itself or through
	// the node that it follows.
	Fresh bool `json:"fresh,omitempty"`
}
