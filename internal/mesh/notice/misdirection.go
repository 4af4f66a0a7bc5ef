package notice

import (
	"sync"
	"time"

	"github.com/filbertpier/filbertpier/internal/instance"
)

const (
	// minMisdirectionBackoff and maxMisdirectionBackoff bound the exponential
	// pause between calls to an instance that the upstream refuses to be. Each
	// such call is an arrival that the retry budget has to pay for.
	minMisdirectionBackoff = time.Second
	maxMisdirectionBackoff = 8 * time.Second
)

// Misdirection remembers the instance that the upstream beside the node refused
// to be. The platform lists a new instance later than it starts, and until then
// the upstream refuses each call to the old one. Its zero value is ready to use; it
// is safe for concurrent use.
type Misdirection struct {
	// mu guards the other fields.
	mu sync.Mutex
	// id and startedAtMs identify the refused instance; id is empty if there is
	// none.
	id          string
	startedAtMs int64
	// retryAt is when the next call to the instance may reach the upstream, and
	// backoff the pause after it.
	retryAt time.Time
	backoff time.Duration
}

func (m *Misdirection) refers(i *instance.Instance) bool {
	return m.id == i.ID && m.startedAtMs == i.StartedAtMs
}

// Blocks reports whether calls to an instance must not reach the upstream now.
func (m *Misdirection) Blocks(now time.Time, i *instance.Instance) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refers(i) && now.Before(m.retryAt)
}

// Admits reports whether a call to an instance may reach the upstream. For a
// refused instance it admits one call after each pause.
func (m *Misdirection) Admits(now time.Time, i *instance.Instance) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.refers(i) {
		return true
	}
	if now.Before(m.retryAt) {
		return false
	}
	m.backoff = min(2*m.backoff, maxMisdirectionBackoff)
	m.retryAt = now.Add(m.backoff)
	return true
}

// Record records that the upstream refused to be an instance.
func (m *Misdirection) Record(now time.Time, i *instance.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refers(i) {
		return
	}
	m.id, m.startedAtMs = i.ID, i.StartedAtMs
	m.backoff = minMisdirectionBackoff
	m.retryAt = now.Add(m.backoff)
}

// Clear records that the upstream answered as an instance.
func (m *Misdirection) Clear(i *instance.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refers(i) {
		m.id = ""
	}
}
