package replica

// Page is a response of the platform or of a peer: a complete list of items, or
// the changes after a revision.
type Page struct {
	Items []Item `json:"items"`
	// Complete is set on a list of all items. Keys that it lacks do not exist.
	Complete bool `json:"complete,omitempty"`
	// Gaps are the ranges in which the changes lack deletions of keys that the
	// receiver does not hold.
	Gaps []Gap `json:"gaps,omitempty"`
	// Revision is the revision up to which the response is complete.
	Revision uint64 `json:"at"`
	// Fresh is set by a peer that is connected; see Reader.Connected.
	Fresh bool `json:"fresh,omitempty"`
}
