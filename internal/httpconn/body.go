package httpconn

import (
	"io"
	"time"
)

// body reads a response body and returns the connection to the pool at its end.
type body struct {
	x *exchange
	r io.ReadCloser
	// idleTimeout is how long the connection may stay idle in the pool; zero or
	// less if it must be closed.
	idleTimeout time.Duration
	// done is set once the connection was returned to the pool or closed.
	done bool
}

// Read implements io.Reader. It returns a *BrokenError if the body ends early.
// Reads after an error or after Close return io.EOF.
func (b *body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.r.Read(p)
	switch {
	case err == io.EOF:
		b.finish()
	case err != nil:
		err = b.x.brokenError(err)
		b.abort()
	}
	return n, err
}

// Close implements io.Closer. It closes the connection unless the body was read
// to its end.
func (b *body) Close() error {
	if !b.done {
		b.abort()
	}
	return nil
}

// finish returns the connection to the pool. It closes the connection if
// idleTimeout is not positive, the context has ended, the server sent more than
// the response, or the request was not written in full.
func (b *body) finish() {
	b.done = true
	x := b.x
	active := x.stop()
	if !active || b.idleTimeout <= 0 || !x.requestSent() || x.conn.br.Buffered() > 0 {
		x.conn.close()
		return
	}
	_ = x.conn.netConn.SetDeadline(time.Time{})
	x.pool.release(x.addr, x.conn, b.idleTimeout)
}

func (b *body) abort() {
	b.done = true
	b.x.stop()
	b.x.conn.close()
}

// requestSent reports whether the request was written in full.
func (x *exchange) requestSent() bool {
	if x.bodyWritten == nil {
		return true
	}
	select {
	case err := <-x.bodyWritten:
		return err == nil
	default:
		return false
	}
}
