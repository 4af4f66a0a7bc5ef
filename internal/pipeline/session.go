package pipeline

import (
	"math"
	"net"
	"sync"
	"time"
)

const (
	// maxParts bounds the requests of a connection that are served at the same time.
	maxParts = 8
	// readAheadBytes is the size of a read while a request is served.
	readAheadBytes = 4 << 10
)

// session is a connection and the parts into which it is split. It is safe for
// concurrent use.
type session struct {
	net.Conn
	listener *Listener
	// left is closed when the client has closed the connection or it has failed.
	left     chan struct{}
	leftOnce sync.Once
	// mu guards the fields below, and the deadline of the connection.
	mu sync.Mutex
	// last is the part of the latest request. It alone reads from the connection.
	last *part
	// ahead holds bytes that were read and belong to no part yet.
	ahead []byte
	// active counts the parts whose response is not complete.
	active int
	// closing is set once a response has asked for the end of the connection. No further
	// request is split off, and the response to the last one says "Connection: close".
	closing bool
	// parts counts the parts. Those numbered above lastServed may not be served: a part was
	// closed before its request was read, for lack of room or because the listener had
	// closed, and the connection ends with it.
	parts, lastServed int
	// changed is closed and replaced when active falls or last changes.
	changed chan struct{}
}

func newSession(l *Listener, c net.Conn) *session {
	return &session{Conn: c, listener: l, left: make(chan struct{}), changed: make(chan struct{}), lastServed: math.MaxInt}
}

// first returns the part that stands for the connection as long as nothing is sent
// ahead.
func (s *session) first() *part {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.appendPart(nil)
	p.boundary, p.begun = true, true
	return p
}

// appendPart adds a part for a request. The caller holds mu.
func (s *session) appendPart(head []byte) *part {
	s.parts++
	p := &part{session: s, number: s.parts, unread: head, done: make(chan struct{}), expired: make(chan struct{})}
	if s.last != nil {
		p.previous = s.last.done
	}
	s.last = p
	s.active++
	s.notify()
	// The deadline was that of the part before.
	_ = s.SetReadDeadline(time.Time{})
	return p
}

// notify wakes those that wait for a change. The caller holds mu.
func (s *session) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// feed appends bytes that were sent ahead and splits off the complete requests among
// them.
func (s *session) feed(data []byte) {
	s.mu.Lock()
	s.ahead = append(s.ahead, data...)
	s.mu.Unlock()
	s.split()
}

// split delivers parts for the requests that are complete, up to maxParts, unless the
// connection is about to end.
func (s *session) split() {
	for {
		s.mu.Lock()
		n := 0
		if s.active < maxParts && !s.closing && s.parts < s.lastServed {
			n = leadingHead(s.ahead)
		}
		if n == 0 {
			s.mu.Unlock()
			return
		}
		head := s.ahead[:n:n]
		s.ahead = s.ahead[n:]
		p := s.appendPart(head)
		s.mu.Unlock()
		if !s.listener.deliver(p) {
			// Not served, so the client may send it again; those ahead get their responses.
			_ = p.Close()
			return
		}
	}
}

// feedFirst is feed for bytes that come before those which are ahead already.
func (s *session) feedFirst(data []byte) {
	s.mu.Lock()
	s.ahead = append(append([]byte(nil), data...), s.ahead...)
	s.mu.Unlock()
	s.split()
}

// readAhead returns how many bytes a part may read ahead while it is served; zero until
// changed is closed. expired is closed while the part's read deadline has passed.
func (s *session) readAhead(p *part) (size int, changed, expired <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.last != p || s.active >= maxParts || len(s.ahead) >= maxHeadBytes || !couldBeHead(s.ahead):
	case len(s.ahead) == 0:
		size = backgroundReadBytes
	default:
		size = readAheadBytes
	}
	return size, s.changed, p.expired
}

// setReadDeadline sets the read deadline of a part. Only that of the last part is a
// deadline of the connection; for the others it matters only whether it has passed,
// which is how net/http ends a read during a call.
func (s *session) setReadDeadline(p *part, t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasExpired := p.isExpired
	p.isExpired = !t.IsZero() && !t.After(time.Now())
	switch {
	case p.isExpired && !wasExpired:
		close(p.expired)
	case !p.isExpired && wasExpired:
		p.expired = make(chan struct{})
	}
	if s.last != p {
		return nil
	}
	return s.Conn.SetReadDeadline(t)
}

// finish records that the response of a part is complete, so that the next part may
// write its own.
func (s *session) finish(p *part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.finished {
		p.finished = true
		close(p.done)
		s.active--
		s.notify()
	}
}

// resume records that the last part reads another request after its response.
func (s *session) resume(p *part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.finished {
		p.finished, p.done, p.previous = false, make(chan struct{}), nil
		s.active++
	}
}

func (s *session) isLast(p *part) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last == p
}

// takeAhead moves bytes that were read ahead to p.
func (s *session) takeAhead(p []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := copy(p, s.ahead)
	s.ahead = s.ahead[n:]
	return n
}

// markLeft ends the calls of all parts.
func (s *session) markLeft() { s.leftOnce.Do(func() { close(s.left) }) }

// beginClose asks for the connection to end after the last part.
func (s *session) beginClose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
}

// closesAfter reports whether the connection ends after p.
func (s *session) closesAfter(p *part) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing && s.last == p
}

// begin records that the request of p, which was split off, is read. It returns false if
// the request may not be served.
func (s *session) begin(p *part) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.begun = p.number <= s.lastServed
	return p.begun
}

// endBefore records that no part from p on may be served if p is closed before its request
// was read.
func (s *session) endBefore(p *part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.begun {
		s.lastServed = min(s.lastServed, p.number-1)
	}
}

// endsWith reports whether the connection ends when p is closed. A part whose response is
// complete leaves the connection to those behind it.
func (s *session) endsWith(p *part) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !p.finished || s.last == p
}

// previousOf returns the channel that is closed when the response before p is complete,
// or nil if there is none.
func (s *session) previousOf(p *part) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.previous
}

// countBehind returns how many requests behind p are served and have no complete response.
// Those ahead of p have one.
func (s *session) countBehind(p *part) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !p.begun:
		return 0
	case p.finished:
		return s.active
	}
	return s.active - 1
}

// cut ends the connection because p is closed, and reports the requests behind it.
func (s *session) cut(p *part) {
	if n := s.countBehind(p); n > 0 && !s.hasLeft() {
		s.listener.observe(Cut{Client: s.RemoteAddr().String(), Unanswered: n})
	}
	s.leave()
}

// hasLeft reports whether the client has left or the connection has ended.
func (s *session) hasLeft() bool {
	select {
	case <-s.left:
		return true
	default:
		return false
	}
}

// leave ends the connection for all parts.
func (s *session) leave() {
	s.markLeft()
	_ = s.Conn.Close()
}
