package httpconn

import (
	"io"
	"net"
	"time"
)

// bodySettleTime is how long a connection is kept out of the pool after a response
// until its request body is written.
const bodySettleTime = 50 * time.Millisecond

// body reads a response body and returns the connection to the pool at its end.
type body struct {
	x *exchange
	r io.ReadCloser
	// idleTimeout is how long the connection may stay idle in the pool; zero or
	// less if it must be closed.
	idleTimeout time.Duration
	// unframed is set if the body has neither a length nor chunks: it ends with the
	// connection.
	unframed bool
	// end is what further reads return: nil until the connection was returned to
	// the pool or closed, and io.EOF only after the whole body.
	end error
}

// Read implements io.Reader. It returns a *BrokenError if the body ends early, and
// again at each further read. A read after Close of a body that was not read to its
// end returns a *BrokenError too.
func (b *body) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.r.Read(p)
	if err == io.EOF && b.unframed {
		if lost := b.x.writer.end(); lost != nil {
			err = lost
		}
	}
	switch {
	case err == io.EOF:
		b.finish()
	case err != nil:
		err = b.x.brokenError(err)
		b.abort(err)
	}
	return n, err
}

// Close implements io.Closer. It closes the connection unless the body was read
// to its end.
func (b *body) Close() error {
	if b.end == nil {
		b.abort(b.x.brokenError(net.ErrClosed))
	}
	return nil
}

// finish returns the connection to the pool. It closes the connection if
// idleTimeout is not positive, the context has ended, the server sent more than
// the response, or the request was not written in full.
func (b *body) finish() {
	b.end = io.EOF
	x := b.x
	active := x.stop()
	if !active || b.idleTimeout <= 0 || x.bodyHeld || x.conn.br.Buffered() > 0 {
		x.conn.close()
		return
	}
	if x.bodyWritten == nil {
		b.release()
		return
	}
	select {
	case err := <-x.bodyWritten:
		b.releaseAfterBody(err)
	default:
		// The goroutine that wrote the body may not have run since.
		go b.awaitBody()
	}
}

// awaitBody returns the connection to the pool once the request body was written. It
// closes the connection after bodySettleTime: the server answered without reading the
// body.
func (b *body) awaitBody() {
	timer := time.NewTimer(bodySettleTime)
	defer timer.Stop()
	select {
	case err := <-b.x.bodyWritten:
		b.releaseAfterBody(err)
	case <-timer.C:
		b.x.conn.close()
	}
}

func (b *body) releaseAfterBody(err error) {
	if err != nil {
		b.x.conn.close()
		return
	}
	b.release()
}

func (b *body) release() {
	_ = b.x.conn.netConn.SetDeadline(time.Time{})
	b.x.pool.release(b.x.addr, b.x.conn, b.idleTimeout)
}

// abort closes the connection; further reads return err.
func (b *body) abort(err error) {
	b.end = err
	b.x.stop()
	b.x.conn.abort()
}
