package replica

import "time"

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
	// Fresh is set by a peer whose copy is confirmed; see Reader.fresh.
	Fresh bool `json:"fresh,omitempty"`
	// Confirmation counts the reads that have confirmed the peer's copy, and
	// ConfirmedAge is the time since the platform sent the last of them. Both are
	// zero in responses of the platform and of nodes of earlier builds.
	Confirmation uint64        `json:"-"`
	ConfirmedAge time.Duration `json:"-"`
}
