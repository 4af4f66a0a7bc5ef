package replica

// Page is a response of the platform or of a peer: a list of items, or the
// changes after a revision.
type Page struct {
	Items []Item `json:"items"`
	// Revision is the revision up to which the response is complete.
	Revision uint64 `json:"at"`
	// Fresh is set by a peer that is connected; see Reader.Connected.
	Fresh bool `json:"fresh,omitempty"`
}
