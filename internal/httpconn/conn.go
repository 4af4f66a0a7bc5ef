package httpconn

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

const (
	readBufferBytes = 8 << 10
	// TCP keep-alive probes detect dead connections while a response is awaited.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// conn is a connection that serves one request at a time.
type conn struct {
	netConn net.Conn
	br      *bufio.Reader
	// limiter bounds what br reads while the head of a response is awaited.
	limiter *headLimiter
	// reused is set once the connection has been in the pool.
	reused bool
	// idleUntil is when an idle connection expires.
	idleUntil time.Time
}

func newConn(c net.Conn) *conn {
	l := &headLimiter{r: c}
	return &conn{netConn: c, br: bufio.NewReaderSize(l, readBufferBytes), limiter: l}
}

// alive reports whether an idle connection is open and has no data to read.
// Data that arrives without a request belongs to no response.
func (c *conn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && wouldBlock
}

// expectHead begins the search for folded lines in the head of the next response, of which
// a part may have been read.
func (c *conn) expectHead() {
	buffered, _ := c.br.Peek(c.br.Buffered())
	c.limiter.scanner.Expect()
	c.limiter.scanner.Scan(buffered)
}

func (c *conn) close() { _ = c.netConn.Close() }

// abort resets the connection, which drops what is not sent yet. A server that does
// not read would otherwise never learn that the exchange has ended, and one behind a
// slow link would still receive the request.
func (c *conn) abort() {
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.close()
}
