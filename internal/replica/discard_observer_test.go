package replica

import "time"

// discardObserver ignores all events.
type discardObserver struct{}

func (discardObserver) ReadFailed(error)                   {}
func (discardObserver) Recovered(time.Duration)            {}
func (discardObserver) Listed(uint64, int)                 {}
func (discardObserver) Relisting(uint64)                   {}
func (discardObserver) PeerFailed(string, error)           {}
func (discardObserver) MergedFromPeer(string, uint64, int) {}
