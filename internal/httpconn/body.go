package httpconn

import (
	"io"
	"time"
)

// body reads an answer and gives the connection back at its end.
type body struct {
	x    *exchange
	r    io.ReadCloser
	keep time.Duration
	// done is set once the connection was kept or closed.
	done bool
}

// Read implements io.Reader. It returns a *BrokenError if the answer ends
// early.
func (b *body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.r.Read(p)
	switch {
	case err == io.EOF:
		b.finish()
	case err != nil:
		err = b.x.broken(err)
		b.abort()
	}
	return n, err
}

// Close implements io.Closer. An answer that was not read to its end ends the
// connection.
func (b *body) Close() error {
	if !b.done {
		b.abort()
	}
	return nil
}

// finish keeps the connection unless the other side closes it, has sent more
// than the answer, or has not read the whole request.
func (b *body) finish() {
	b.done = true
	x := b.x
	active := x.stop()
	if !active || b.keep <= 0 || !x.sent() || x.conn.br.Buffered() > 0 {
		x.conn.close()
		return
	}
	_ = x.conn.net.SetDeadline(time.Time{})
	x.pool.release(x.addr, x.conn, b.keep)
}

func (b *body) abort() {
	b.done = true
	b.x.stop()
	b.x.conn.close()
}

// sent reports whether the request was written in full.
func (x *exchange) sent() bool {
	if x.written == nil {
		return true
	}
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}
