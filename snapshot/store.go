package snapshot

import (
	"sync"
	"sync/atomic"

	"github.com/filbertpier/filbertpier/config/manifest"
)

// historyLength is the number of snapshots kept as bases for deltas. Peers are
// rarely more than a few versions behind; a peer further behind receives whole
// sections.
const historyLength = 4

// Store holds the current snapshot and its most recent predecessors. Reading the
// current snapshot takes no lock. A Store is safe for concurrent use.
type Store struct {
	current  atomic.Pointer[Snapshot]
	sections sectionShards

	// mu guards history and changed, and serialises Apply.
	mu sync.Mutex
	// history ends with the current snapshot.
	history []*Snapshot
	changed chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{})}
	s.sections.init()
	return s
}

// Current returns the current snapshot, or nil before the first Apply.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// CurrentID returns the ID of the current snapshot, or the zero ID.
func (s *Store) CurrentID() ID {
	if c := s.current.Load(); c != nil {
		return c.ID
	}
	return ID{}
}

// Apply makes next the current snapshot. It returns a *NotNewerError unless the
// ID of next is after the current one.
func (s *Store) Apply(next *Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.CurrentID(); !current.Less(next.ID) {
		return &NotNewerError{Current: current, Refused: next.ID}
	}
	for d, raw := range next.sections {
		s.sections.put(d, raw)
	}
	s.current.Store(next)
	s.history = append(s.history, next)
	if len(s.history) > historyLength {
		s.history = append([]*Snapshot(nil), s.history[1:]...)
		s.sections.retain(s.history)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// Changed returns a channel that is closed at the next successful Apply.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Find returns the snapshot with an ID, if it is in the history.
func (s *Store) Find(id ID) (*Snapshot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.history {
		if h.ID == id {
			return h, true
		}
	}
	return nil, false
}

// Section returns the content of a section that a snapshot in the history uses.
func (s *Store) Section(d manifest.Digest) ([]byte, bool) { return s.sections.get(d) }
