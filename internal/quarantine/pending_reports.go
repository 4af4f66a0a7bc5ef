package quarantine

import (
	"sync"
)

// PendingReports holds the crash reports that wait for acknowledgements. It is
// safe for concurrent use. Crashes are rare, so a single lock suffices.
type PendingReports struct {
	// mu guards lastID and pending.
	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]*pendingReport
}

// NewPendingReports returns an empty set.
func NewPendingReports() *PendingReports {
	return &PendingReports{pending: map[uint64]*pendingReport{}}
}

// Add adds a report that is sent to the nodes of vms, and returns its ID and a
// channel that is closed when all of them have acknowledged it.
func (r *PendingReports) Add(vms []string) (uint64, <-chan struct{}) {
	p := &pendingReport{unacknowledged: map[string]bool{}, done: make(chan struct{})}
	for _, vm := range vms {
		p.unacknowledged[vm] = true
	}
	if len(vms) == 0 {
		close(p.done)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	r.pending[r.lastID] = p
	return r.lastID, p.done
}

// Remove removes a report; later acknowledgements of it are ignored.
func (r *PendingReports) Remove(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, id)
}

// Acknowledge records that the node of vm has acknowledged a report. Unknown and
// repeated acknowledgements are ignored.
func (r *PendingReports) Acknowledge(id uint64, vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.pending[id]
	if !ok || !p.unacknowledged[vm] {
		return
	}
	delete(p.unacknowledged, vm)
	if len(p.unacknowledged) == 0 {
		close(p.done)
	}
}
