package dataplane

import (
	"sync"

	"github.com/filbertpier/filbertpier/internal/message"
)

// crashReports knows the reports that wait for acknowledgements. Crashes are
// rare, so it has one lock. It is safe for concurrent use.
type crashReports struct {
	// mu guards next and pending.
	mu      sync.Mutex
	next    uint64
	pending map[uint64]*pendingReport
}

func newCrashReports() *crashReports {
	return &crashReports{pending: map[uint64]*pendingReport{}}
}

// open adds a report to some nodes; the channel is closed when all have
// acknowledged it.
func (c *crashReports) open(vms []string) (uint64, <-chan struct{}) {
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

func (c *crashReports) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

func (c *crashReports) onAck(m *message.CrashAck) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pending[m.ID]
	if !ok || !p.waiting[m.VM] {
		return
	}
	delete(p.waiting, m.VM)
	if len(p.waiting) == 0 {
		close(p.done)
	}
}
