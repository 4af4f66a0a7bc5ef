package node

import (
	"net"
	"os"
	"sync"
	"syscall"
)

// callListener is the listener of the call port. Closing a listening socket
// resets the connections that are still in the kernel's accept queue, so
// shutdown accepts them first. Its methods are safe for concurrent use.
type callListener struct {
	*net.TCPListener
	// stopping is closed when shutdown begins.
	stopping chan struct{}
	// accepted passes the connections that shutdown accepted to Accept. It is
	// closed after the last one.
	accepted chan net.Conn
	// drained is closed when Accept has returned all connections; the server
	// tracks all of them by then.
	drained     chan struct{}
	drainedOnce sync.Once
}

func newCallListener(l *net.TCPListener) *callListener {
	return &callListener{TCPListener: l, stopping: make(chan struct{}), accepted: make(chan net.Conn), drained: make(chan struct{})}
}

// Accept implements net.Listener. After shutdown it returns the remaining
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
	if c, ok := <-l.accepted; ok {
		return c, nil
	}
	l.drainedOnce.Do(func() { close(l.drained) })
	return nil, net.ErrClosed
}

// shutdown stops listening and passes the connections in the accept queue to
// Accept. It returns when the server that calls Accept tracks them; otherwise
// closing the server could miss a connection. It must be called only once.
func (l *callListener) shutdown() {
	close(l.stopping)
	defer func() {
		close(l.accepted)
		<-l.drained
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
			l.accepted <- c
		}
		_ = f.Close()
	}
}
