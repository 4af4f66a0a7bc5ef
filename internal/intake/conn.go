package intake

import (
	"bytes"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// headLineBytes is the memory that one line of a request's head takes besides its text:
// the entry of a header map, its slice of values, and a copy for the next hop.
const headLineBytes = 256

// Conn is a client's connection. The memory charged to it is given back when its
// current call ends, when it is closed, or when it is evicted. Its methods are safe for
// concurrent use.
type Conn struct {
	net.Conn
	guard *Guard
	// shard holds the connection while it is open.
	shard *connShard
	class Class
	phase atomic.Int32
	// charged is the memory charged to the account, in bytes.
	charged  atomic.Int64
	progress progress
	closed   atomic.Bool
}

// Read implements net.Conn. It returns a *RefusedError if there is no memory for the
// head of a request.
func (c *Conn) Read(p []byte) (int, error) {
	began := time.Now()
	c.progress.beginRead(began)
	n, err := c.Conn.Read(p)
	c.progress.endRead(began, time.Now(), n, c.waitsForRequest())
	if n == 0 {
		return n, err
	}
	if c.phase.CompareAndSwap(int32(phaseIdle), int32(phaseHead)) {
		c.progress.reset()
	}
	if phase(c.phase.Load()) == phaseHead {
		lines := bytes.Count(p[:n], []byte{'\n'})
		if refused := c.Charge(int64(n + lines*headLineBytes)); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	began := time.Now()
	c.progress.beginWrite(began)
	n, err := c.Conn.Write(p)
	c.progress.endWrite(began, time.Now(), n)
	return n, err
}

// waitsForRequest reports whether the node waits for the rest of a request when it
// reads.
func (c *Conn) waitsForRequest() bool {
	p := phase(c.phase.Load())
	return p == phaseHead || p == phaseBody
}

// Close implements net.Conn. Further calls only close the underlying connection.
func (c *Conn) Close() error {
	if !c.closed.Swap(true) {
		c.discharge()
		c.guard.remove(c)
	}
	return c.Conn.Close()
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending direction. The HTTP server does so before it closes a
// connection whose request it has not read to its end, so that the client gets the
// response.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn, by which package disconnect sees the client
// leave.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }

// Charge reserves memory for the current call. Without room, it takes that of a client
// that has stopped, or returns a *RefusedError. A nil Conn has no limit.
func (c *Conn) Charge(n int64) error {
	if c == nil || n <= 0 {
		return nil
	}
	if !c.guard.takeMemory(c, n) {
		c.guard.countTurnedAway(c.class, CauseMemory)
		return &RefusedError{Class: c.class, Bytes: n}
	}
	c.charged.Add(n)
	if c.closed.Load() {
		// The eviction may have missed this charge.
		c.discharge()
	}
	return nil
}

// ReadBody calls read, which reads the body of the current call. The client counts as
// stopped while reads from the connection are blocked meanwhile.
func (c *Conn) ReadBody(read func() error) error {
	if c == nil {
		return read()
	}
	c.progress.reset()
	c.phase.Store(int32(phaseBody))
	defer c.phase.Store(int32(phaseCall))
	return read()
}

// beginCall records that a handler runs.
func (c *Conn) beginCall() {
	c.phase.Store(int32(phaseCall))
	c.progress.reset()
}

// endCall gives back the memory of a call. The HTTP server may still read what the
// handler left of the body.
func (c *Conn) endCall() {
	c.phase.Store(int32(phaseIdle))
	c.discharge()
}

func (c *Conn) discharge() { c.guard.memory.give(c.charged.Swap(0)) }

// behind returns how far the client is behind the slowest accepted pace with the rest
// of its request or with reading its response; zero if the node waits for neither.
func (c *Conn) behind(now time.Time) time.Duration {
	return c.progress.behind(now, c.waitsForRequest())
}

// idleFor returns how long the connection has been idle between calls; zero if it is
// not.
func (c *Conn) idleFor(now time.Time) time.Duration {
	if phase(c.phase.Load()) != phaseIdle {
		return 0
	}
	return c.progress.readingFor(now)
}
