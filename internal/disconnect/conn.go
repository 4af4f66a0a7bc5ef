package disconnect

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is the connection of a client. Its methods are safe for concurrent use.
type Conn struct {
	netConn net.Conn
	raw     syscall.RawConn
}

// ConnContext returns a context that holds the connection, for
// http.Server.ConnContext. A connection without a file descriptor is left out: its
// clients count as connected.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return ctx
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return ctx
	}
	return context.WithValue(ctx, connKey{}, &Conn{netConn: c, raw: raw})
}

// FromContext returns the connection of the request that a context belongs to, or
// nil if it is unknown.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Closed reports whether the client has closed the connection, also if the node has
// not read everything that the client sent before. It does not block. The client of
// a nil Conn counts as connected.
func (c *Conn) Closed() bool {
	if c == nil {
		return false
	}
	closed := false
	err := c.raw.Control(func(fd uintptr) { closed = hungUp(fd) })
	return err != nil || closed
}

// ResetOnClose determines whether the connection is reset when it is closed. A client that
// takes the end of the connection for the end of a response sees then that it is not
// complete. It has no effect on a nil Conn.
func (c *Conn) ResetOnClose(reset bool) {
	if c == nil {
		return
	}
	linger := unix.Linger{}
	if reset {
		linger.Onoff = 1
	}
	// It fails only if the connection is closed already.
	_ = c.raw.Control(func(fd uintptr) { _ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &linger) })
}

// hungUp reports whether the other side of a socket has closed or reset it.
func hungUp(fd uintptr) bool {
	const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	_, err := unix.Poll(fds, 0)
	return err == nil && fds[0].Revents&closedEvents != 0
}
