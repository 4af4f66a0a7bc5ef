package replica

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/revision"
)

// discardObserver ignores all events.
type discardObserver struct{}

func (discardObserver) ReadFailed(error)                                        {}
func (discardObserver) Recovered(time.Duration)                                 {}
func (discardObserver) Listed(revision.Revision, int)                           {}
func (discardObserver) Relisting(revision.Revision)                             {}
func (discardObserver) PeerFailed(string, error)                                {}
func (discardObserver) MergedFromPeer(string, revision.Revision, int)           {}
func (discardObserver) EraBegun(revision.Revision, revision.Revision, int, int) {}
