package node

import (
	"net"
	"os"
	"sync"
	"syscall"
)

// callListener is the listener of calls. Closing a listening socket resets the
// connections that the kernel has established but nobody has accepted, so
// finish accepts them first. Its methods are safe for concurrent use.
type callListener struct {
	*net.TCPListener
	// stopping is closed when finish begins.
	stopping chan struct{}
	// rest holds the connections that finish accepted. It is closed after them.
	rest chan net.Conn
	// ended is closed when Accept has nothing left, by which time the server
	// tracks all connections.
	ended   chan struct{}
	endOnce sync.Once
}

func newCallListener(l *net.TCPListener) *callListener {
	return &callListener{TCPListener: l, stopping: make(chan struct{}), rest: make(chan net.Conn), ended: make(chan struct{})}
}

// Accept implements net.Listener. After finish it returns the remaining
// connections and then net.ErrClosed.
func (l *callListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		return c, nil
	}
	select {
	case <-l.stopping:
	default:
		return nil, err
	}
	if c, ok := <-l.rest; ok {
		return c, nil
	}
	l.endOnce.Do(func() { close(l.ended) })
	return nil, net.ErrClosed
}

// finish stops listening and hands the connections established until then to
// Accept. It returns when the server that calls Accept tracks them, and must be called
// once. Without waiting for that, Server.Shutdown could miss a connection.
func (l *callListener) finish() {
	close(l.stopping)
	defer func() {
		close(l.rest)
		<-l.ended
	}()
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	var fds []int
	_ = raw.Control(func(fd uintptr) {
		for {
			c, _, err := syscall.Accept4(int(fd), syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK)
			if err != nil {
				break
			}
			fds = append(fds, c)
		}
		_ = syscall.Shutdown(int(fd), syscall.SHUT_RD)
	})
	for _, fd := range fds {
		f := os.NewFile(uintptr(fd), "call")
		if c, err := net.FileConn(f); err == nil {
			l.rest <- c
		}
		_ = f.Close()
	}
}
