package quarantine

import (
	"context"
	"time"
)

// Guard decides which requests may run on one upstream. It is safe for concurrent
// use.
type Guard struct {
	// Table holds the suspect and quarantined fingerprints.
	Table    *Table
	inFlight *InFlightRequests
	// suspectSlot is a semaphore: one suspect may run at a time.
	suspectSlot chan struct{}
}

// NewGuard returns a guard that knows no suspects.
func NewGuard() *Guard {
	return &Guard{Table: NewTable(), inFlight: NewInFlightRequests(), suspectSlot: make(chan struct{}, 1)}
}

// Admit admits a request that is not quarantined. A suspect waits until no other
// suspect runs. The caller must release the admission. Errors are *QuarantinedError
// and, if ctx ends first, *SuspectRunningError.
func (g *Guard) Admit(ctx context.Context, f Fingerprint) (*Admission, error) {
	a := &Admission{guard: g, fingerprint: f}
	state, remaining := g.Table.Lookup(time.Now(), f)
	switch state {
	case StateQuarantined:
		return nil, &QuarantinedError{Remaining: remaining}
	case StateSuspect:
		select {
		case g.suspectSlot <- struct{}{}:
			a.Suspect = true
		case <-ctx.Done():
			return nil, &SuspectRunningError{Err: ctx.Err()}
		}
	}
	return a, nil
}
