package quarantine

import (
	"sync"
)

// PendingReports knows the reports that wait for acknowledgements. Crashes are
// rare, so it has one lock. It is safe for concurrent use.
type PendingReports struct {
	// mu guards next and pending.
	mu      sync.Mutex
	next    uint64
	pending map[uint64]*pendingReport
}

// NewPendingReports returns an empty set.
func NewPendingReports() *PendingReports {
	return &PendingReports{pending: map[uint64]*pendingReport{}}
}

// Add adds a report to some nodes; the channel is closed when all have
// acknowledged it.
func (c *PendingReports) Add(vms []string) (uint64, <-chan struct{}) {
	p := &pendingReport{waiting: map[string]bool{}, done: make(chan struct{})}
	for _, vm := range vms {
		p.waiting[vm] = true
	}
	if len(vms) == 0 {
		close(p.done)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	c.pending[c.next] = p
	return c.next, p.done
}

// Remove removes a report.
func (c *PendingReports) Remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// Acknowledge notes that a node has recorded a report.
func (c *PendingReports) Acknowledge(id uint64, vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pending[id]
	if !ok || !p.waiting[vm] {
		return
	}
	delete(p.waiting, vm)
	if len(p.waiting) == 0 {
		close(p.done)
	}
}
