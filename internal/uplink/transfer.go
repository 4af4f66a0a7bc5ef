package uplink

import (
	"context"
	"io"
	"time"
)

// Transfer is the sending of one answer. It is used by one goroutine.
type Transfer struct {
	link *Link
	// left is the number of bytes that are counted and not sent yet.
	left int
	due  time.Time
}

// resize replaces the bytes that are counted.
func (t *Transfer) resize(bytes int) {
	t.link.mu.Lock()
	defer t.link.mu.Unlock()
	t.link.schedule.Expect(bytes - t.left)
	t.left = bytes
}

// Write sends an answer's bytes, large ones in pieces that take turns. It
// returns the error of ctx or of w.
func (t *Transfer) Write(ctx context.Context, w io.Writer, body []byte) error {
	if len(body) <= SmallResponseBytes {
		t.Close()
		t.link.charge(len(body))
		_, err := w.Write(body)
		return err
	}
	t.resize(len(body))
	size := t.link.schedule.PieceBytes()
	for len(body) > 0 {
		n := min(size, len(body))
		if err := t.link.acquire(ctx, &piece{bytes: n, due: t.due, ready: make(chan struct{})}); err != nil {
			return err
		}
		t.resize(t.left - n)
		if _, err := w.Write(body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// Close takes back what is still counted. Repeating it has no effect.
func (t *Transfer) Close() { t.resize(0) }

// Writer returns a writer whose writes take turns as Write does, for an answer
// that is not held whole.
func (t *Transfer) Writer(ctx context.Context, w io.Writer) io.Writer {
	return &pacedWriter{ctx: ctx, transfer: t, w: w}
}
