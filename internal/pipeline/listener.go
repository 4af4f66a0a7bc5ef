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
	// failed passes on errors of the underlying listener, after which it may go on.
	failed chan error
	// observe is called for each connection that is cut, by several goroutines at once.
	observe func(Cut)
}

// NewListener returns a listener that splits the connections of l. The server must call
// ConnState. observe must be safe for concurrent use and not block.
func NewListener(l net.Listener, observe func(Cut)) *Listener {
	out := &Listener{Listener: l, accepted: make(chan net.Conn), closed: make(chan struct{}), failed: make(chan error), observe: observe}
	go out.acceptAll()
	return out
}

func (l *Listener) acceptAll() {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			if !l.fail(err) {
				return
			}
			continue
		}
		if !l.deliver(newSession(l, c).first()) {
			_ = c.Close()
		}
	}
}

// fail passes an error to Accept, whose caller decides whether to go on: without file
// descriptors, for example, net/http tries again later. It returns false once the
// listener is closed.
func (l *Listener) fail(err error) bool {
	select {
	case l.failed <- err:
		return true
	case <-l.closed:
		return false
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
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
