package replica

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/revision"
)

// Page is a response of the platform or of a peer: a complete list of items, or
// the changes after a revision.
type Page struct {
	Items []Item `json:"items"`
	// Complete is set on a list of all items. Keys that it lacks do not exist.
	Complete bool `json:"complete,omitempty"`
	// Gaps are the ranges, in the era of Revision, in which the changes lack
	// deletions of keys that the receiver does not hold.
	Gaps []Gap `json:"gaps,omitempty"`
	// Revision is the revision up to which the response is complete. All items of
	// the page are of its era.
	Revision revision.Revision `json:"at"`
	// EraUnknown is set if the platform did not name the era of the response. The
	// eras of Revision and of the items are zero then.
	EraUnknown bool `json:"-"`
	// Fresh is set by a peer whose copy is confirmed; see Reader.fresh.
	Fresh bool `json:"fresh,omitempty"`
	// Confirmation counts the reads that have confirmed the peer's copy, and
	// ConfirmedAge is the time since the platform sent the last of them. Both are
	// zero in responses of the platform and of nodes of earlier builds.
	Confirmation uint64        `json:"-"`
	ConfirmedAge time.Duration `json:"-"`
}

// assumeEra returns the page in the given era if the platform did not name the era.
func (p Page) assumeEra(era uint64) Page {
	if !p.EraUnknown {
		return p
	}
	p.Revision.Era = era
	items := make([]Item, len(p.Items))
	for i, item := range p.Items {
		item.Revision.Era = era
		items[i] = item
	}
	p.Items, p.EraUnknown = items, false
	return p
}
