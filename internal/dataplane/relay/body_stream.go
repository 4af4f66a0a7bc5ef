package relay

import (
	"io"
	"sync"
)

// bodyStream is the body of one attempt to send a request that is not fully
// buffered. It is safe for concurrent use: a transport may still read after its
// round trip has failed.
type bodyStream struct {
	// mu guards src, started and closed.
	mu      sync.Mutex
	src     io.Reader
	started bool
	closed  bool
}

// Read implements io.Reader.
func (s *bodyStream) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, io.ErrClosedPipe
	}
	s.started = true
	return s.src.Read(p)
}

// Close implements io.Closer. It does not close the caller's body, which belongs to
// the HTTP server. It has no effect during a Read, because it must not wait for a
// blocked one.
func (s *bodyStream) Close() error {
	if s.mu.TryLock() {
		s.closed = true
		s.mu.Unlock()
	}
	return nil
}

// revoke closes the stream and reports whether it has never been read from. During
// a Read it returns false and leaves the stream open.
func (s *bodyStream) revoke() bool {
	if !s.mu.TryLock() {
		return false
	}
	defer s.mu.Unlock()
	s.closed = true
	return !s.started
}
