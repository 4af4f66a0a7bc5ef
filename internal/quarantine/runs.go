package quarantine

import "sync"

// Runs knows the requests that run on one upstream. It is safe for concurrent
// use; there is one per upstream, so it has one lock.
type Runs struct {
	// mu guards running.
	mu      sync.Mutex
	running map[*Run]struct{}
}

// NewRuns returns an empty set.
func NewRuns() *Runs { return &Runs{running: map[*Run]struct{}{}} }

// Begin adds a request. The caller must call End once.
func (r *Runs) Begin(f Fingerprint, suspect bool) *Run {
	run := &Run{fingerprint: f, suspect: suspect}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[run] = struct{}{}
	return run
}

// End removes a request.
func (r *Runs) End(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, run)
}

// Broke tells that the connection of a run broke. All requests that run at that
// moment belong to the same crash; first is set for the one that is to report
// it. A single suspect among them is marked as the sole one.
func (r *Runs) Broke(run *Run) (c *Crash, first bool) {
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
		c.Suspicions = append(c.Suspicions, Suspicion{Fingerprint: other.fingerprint, Sole: other.suspect && suspects == 1})
	}
	return c, true
}
