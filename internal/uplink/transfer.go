package uplink

import (
	"context"
	"io"
	"time"
)

// Transfer sends one response or receives one request body. It is used by one goroutine.
type Transfer struct {
	link *Link
	// remaining is the number of bytes that are part of the link's backlog and
	// not granted yet.
	remaining int
	due       time.Time
}

// setRemaining changes the remaining bytes and the link's backlog with them.
func (t *Transfer) setRemaining(bytes int) {
	t.link.mu.Lock()
	defer t.link.mu.Unlock()
	t.link.scheduler.AddExpected(bytes - t.remaining)
	t.remaining = bytes
}

// Write sends a response or a part of it. More than SmallBodyBytes are sent
// in chunks that the link schedules. The bytes of body replace the expected ones
// in the link's backlog. Write returns the error of ctx or of w.
func (t *Transfer) Write(ctx context.Context, w io.Writer, body []byte) error {
	if len(body) <= SmallBodyBytes {
		t.Close()
		t.link.Charge(len(body))
		_, err := w.Write(body)
		return err
	}
	t.setRemaining(len(body))
	size := t.link.scheduler.ChunkBytes()
	for len(body) > 0 {
		n := min(size, len(body))
		if err := t.link.acquire(ctx, &chunk{bytes: n, due: t.due, ready: make(chan struct{})}); err != nil {
			return err
		}
		t.setRemaining(t.remaining - n)
		if _, err := w.Write(body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// Receive waits until the other side may send the expected bytes as a whole. The
// caller then asks it to send them. Receive returns the error of ctx.
func (t *Transfer) Receive(ctx context.Context) error {
	err := t.link.acquire(ctx, &chunk{bytes: t.remaining, due: t.due, ready: make(chan struct{})})
	t.Close()
	return err
}

// Close removes the remaining bytes from the link's backlog. Further calls have
// no effect.
func (t *Transfer) Close() { t.setRemaining(0) }

// Writer returns a writer that passes each of its writes to Write with ctx, for
// a response that is sent in several parts.
func (t *Transfer) Writer(ctx context.Context, w io.Writer) io.Writer {
	return &pacedWriter{ctx: ctx, transfer: t, w: w}
}
