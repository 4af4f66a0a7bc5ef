package quarantine

import "sync"

// InFlightRequests knows the requests that run on one upstream. It is safe for concurrent
// use; there is one per upstream, so it has one lock.
type InFlightRequests struct {
	// mu guards running.
	mu      sync.Mutex
	running map[*InFlightRequest]struct{}
}

// NewInFlightRequests returns an empty set.
func NewInFlightRequests() *InFlightRequests {
	return &InFlightRequests{running: map[*InFlightRequest]struct{}{}}
}

// Begin adds a request. The caller must call End once.
func (r *InFlightRequests) Begin(f Fingerprint, suspect bool) *InFlightRequest {
	run := &InFlightRequest{fingerprint: f, suspect: suspect}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[run] = struct{}{}
	return run
}

// End removes a request.
func (r *InFlightRequests) End(run *InFlightRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, run)
}

// ConnectionBroke tells that the connection of a run broke. All requests that run at that
// moment belong to the same crash; first is set for the one that is to report
// it. A single suspect among them is marked as the sole one.
func (r *InFlightRequests) ConnectionBroke(run *InFlightRequest) (c *Crash, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run.crash != nil {
		return run.crash, false
	}
	c = &Crash{Reported: make(chan struct{})}
	suspects := 0
	for other := range r.running {
		if other.crash == nil && other.suspect {
			suspects++
		}
	}
	for other := range r.running {
		if other.crash != nil {
			continue
		}
		other.crash = c
		c.Suspects = append(c.Suspects, Suspect{Fingerprint: other.fingerprint, Sole: other.suspect && suspects == 1})
	}
	return c, true
}
