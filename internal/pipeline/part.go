package pipeline

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// backgroundReadBytes is the size of the reads by which net/http watches for the client
// to leave while a handler runs. Its other reads are larger.
const backgroundReadBytes = 1

// part is the net.Conn of one request that was sent ahead or, as long as nothing is, of
// the whole connection. Like those of any net.Conn that net/http serves, one goroutine
// reads at a time.
type part struct {
	session *session
	// number is the position of the part on its connection, from 1.
	number int
	// unread is the request of a part that was split off, as far as it is unread.
	unread []byte
	// boundary is set if the next byte begins a request. It stays false once the
	// connection has carried another request than one without a body: where the next
	// one begins is known to net/http only.
	boundary bool
	// bodiless is set from the end of the head of a request without a body until its
	// response is complete.
	bodiless bool

	// session.mu guards the fields below. previous is closed when the response before is
	// complete; nil if there is none. done is closed when the response of the current
	// request is, expired while the read deadline has passed.
	previous <-chan struct{}
	done     chan struct{}
	finished bool
	// begun is set once the request of a part that was split off is read.
	begun     bool
	expired   chan struct{}
	isExpired bool
}

// Read implements net.Conn.
func (p *part) Read(b []byte) (int, error) {
	if len(p.unread) > 0 {
		if !p.session.begin(p) {
			return 0, io.EOF
		}
		n := copy(b, p.unread)
		p.unread, p.bodiless = p.unread[n:], true
		return n, nil
	}
	if p.bodiless && len(b) == backgroundReadBytes {
		return p.readDuringCall(b)
	}
	if p.bodiless {
		// net/http asks for the next request once it has written the response.
		if !p.session.isLast(p) {
			return 0, io.EOF
		}
		p.bodiless, p.boundary = false, true
	}
	return p.readNext(b)
}

// readNext reads a request, or its body.
func (p *part) readNext(b []byte) (int, error) {
	s := p.session
	n := s.takeAhead(b)
	if n == 0 {
		var err error
		if n, err = s.Conn.Read(b); n == 0 {
			p.observeReadError(err)
			return 0, err
		}
	}
	if !p.boundary {
		return n, nil
	}
	s.resume(p)
	head := leadingHead(b[:n])
	p.boundary, p.bodiless = false, head > 0
	if p.bodiless && head < n {
		s.feedFirst(b[head:n])
		n = head
	}
	return n, nil
}

// readDuringCall reads ahead until the deadline passes or the client leaves. It returns
// no bytes: they become further parts, or wait for the next request.
func (p *part) readDuringCall(b []byte) (int, error) {
	s := p.session
	for {
		size, changed, expired := s.readAhead(p)
		if size == 0 {
			select {
			case <-expired:
				return 0, os.ErrDeadlineExceeded
			case <-s.left:
				return 0, io.EOF
			case <-changed:
				s.split()
			}
			continue
		}
		buffer := b
		if size > len(b) {
			buffer = make([]byte, size)
		}
		n, err := s.Conn.Read(buffer)
		if n == 0 {
			p.observeReadError(err)
			return 0, err
		}
		s.feed(buffer[:n])
	}
}

// observeReadError ends the calls of the other parts if the client has left.
func (p *part) observeReadError(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		p.session.markLeft()
	}
}

// Write implements net.Conn. It waits until the response before is complete.
func (p *part) Write(b []byte) (int, error) {
	if !p.awaitPrevious(nil) {
		return 0, net.ErrClosed
	}
	return p.session.Conn.Write(b)
}

// awaitPrevious waits until the response before is complete. It returns false if the
// client leaves or canceled is closed before.
func (p *part) awaitPrevious(canceled <-chan struct{}) bool {
	previous := p.session.previousOf(p)
	if previous == nil {
		return true
	}
	select {
	case <-previous:
		return true
	case <-p.session.left:
		return false
	case <-canceled:
		return false
	}
}

// Close implements net.Conn. It closes the connection, after the responses before, unless
// the response is complete and there are parts behind. What was sent behind is then known
// not to be answered.
func (p *part) Close() error {
	p.session.endBefore(p)
	switch {
	case !p.session.endsWith(p):
	case p.session.previousOf(p) == nil:
		p.session.cut(p)
	default:
		go func() {
			p.awaitPrevious(nil)
			p.session.cut(p)
		}()
	}
	return nil
}

// CloseWrite closes the sending direction of the connection unless the response is
// complete and there are parts behind.
func (p *part) CloseWrite() error {
	half, ok := p.session.Conn.(interface{ CloseWrite() error })
	if !ok || !p.session.endsWith(p) {
		return nil
	}
	return half.CloseWrite()
}

// LocalAddr implements net.Conn.
func (p *part) LocalAddr() net.Addr { return p.session.Conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (p *part) RemoteAddr() net.Addr { return p.session.Conn.RemoteAddr() }

// SetDeadline implements net.Conn.
func (p *part) SetDeadline(t time.Time) error {
	return errors.Join(p.SetReadDeadline(t), p.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn.
func (p *part) SetReadDeadline(t time.Time) error { return p.session.setReadDeadline(p, t) }

// SetWriteDeadline implements net.Conn.
func (p *part) SetWriteDeadline(t time.Time) error { return p.session.Conn.SetWriteDeadline(t) }

// SyscallConn implements syscall.Conn.
func (p *part) SyscallConn() (syscall.RawConn, error) {
	return p.session.Conn.(syscall.Conn).SyscallConn()
}
