package httpconn

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

const (
	readBuffer = 8 << 10
	// keepAlive finds connections that went silent while an answer is awaited.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// conn is one connection. It is used by one request at a time.
type conn struct {
	net       net.Conn
	br        *bufio.Reader
	used      bool
	keepUntil time.Time
}

func newConn(c net.Conn) *conn {
	return &conn{net: c, br: bufio.NewReaderSize(c, readBuffer)}
}

// alive reports whether an idle connection is open and has nothing to read.
// Bytes that come without a request belong to none.
func (c *conn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

func (c *conn) close() { _ = c.net.Close() }
