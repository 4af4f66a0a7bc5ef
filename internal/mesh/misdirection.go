package mesh

import (
	"sync"
	"time"

	"github.com/filbertpier/filbertpier/internal/instance"
)

// misdirection remembers the instance that the upstream beside the node refused
// to be. The platform lists a new instance later than it starts, and until then
// the upstream refuses each call to the old one. It is safe for concurrent use.
type misdirection struct {
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

func (m *misdirection) refers(i *instance.Instance) bool {
	return m.id == i.ID && m.startedAtMs == i.StartedAtMs
}

// blocks reports whether calls to an instance must not reach the upstream now.
func (m *misdirection) blocks(now time.Time, i *instance.Instance) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refers(i) && now.Before(m.retryAt)
}

// admits reports whether a call to an instance may reach the upstream. For a
// refused instance it admits one call after each pause.
func (m *misdirection) admits(now time.Time, i *instance.Instance) bool {
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

// record records that the upstream refused to be an instance.
func (m *misdirection) record(now time.Time, i *instance.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refers(i) {
		return
	}
	m.id, m.startedAtMs = i.ID, i.StartedAtMs
	m.backoff = minMisdirectionBackoff
	m.retryAt = now.Add(m.backoff)
}

// clear records that the upstream answered as an instance.
func (m *misdirection) clear(i *instance.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refers(i) {
		m.id = ""
	}
}
