package pipeline

import (
	"net"
	"sync"
)

// Listener accepts connections and the parts into which they are split. It is safe for
// concurrent use.
type Listener struct {
	net.Listener
	accepted  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
	// failed holds the error that ended the accept loop.
	failed chan error
}

// NewListener returns a listener that splits the connections of l.
func NewListener(l net.Listener) *Listener {
	out := &Listener{Listener: l, accepted: make(chan net.Conn), closed: make(chan struct{}), failed: make(chan error, 1)}
	go out.acceptAll()
	return out
}

func (l *Listener) acceptAll() {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			l.failed <- err
			return
		}
		if !l.deliver(newSession(l, c).first()) {
			_ = c.Close()
		}
	}
}

// deliver passes a connection to Accept. It returns false once the listener is closed.
func (l *Listener) deliver(c net.Conn) bool {
	select {
	case l.accepted <- c:
		return true
	case <-l.closed:
		return false
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case err := <-l.failed:
		return nil, err
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
