package disconnect

import (
	"io"
	"sync"
	"time"
)

// aLongTimeAgo is a read deadline that ends a pending wait.
var aLongTimeAgo = time.Unix(1, 0)

// Watch waits for a client to close its connection while nobody reads from it, that
// is while a part of the request body is unread. Once the body is read to its end,
// net/http itself watches the connection. A Watch is safe for concurrent use; a nil
// Watch has no effect.
type Watch struct {
	conn     *Conn
	onClosed func()
	// mu guards the other fields.
	mu sync.Mutex
	// ended is closed when the running wait has ended; nil while none runs.
	ended   chan struct{}
	stopped bool
}

// NewWatch starts to watch the connection of a request whose body is not read to its
// end. onClosed is called when the client has disconnected, maybe repeatedly. Until
// Stop, the body must be read through Body only. NewWatch returns nil if conn is nil.
func NewWatch(conn *Conn, onClosed func()) *Watch {
	if conn == nil {
		return nil
	}
	w := &Watch{conn: conn, onClosed: onClosed}
	w.resume()
	return w
}

// Stop ends the watch. It must be called before the response is written, since the
// HTTP server then reads the remainder of the body. Further calls have no effect.
func (w *Watch) Stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.endWait()
}

// Body returns a reader of the remainder of the request body that pauses the watch
// while it reads.
func (w *Watch) Body(r io.Reader) io.Reader {
	if w == nil {
		return r
	}
	return &body{watch: w, r: r}
}

// pause ends the wait, so that the body can be read.
func (w *Watch) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endWait()
}

// resume starts a wait unless one runs or the watch has stopped.
func (w *Watch) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.ended != nil {
		return
	}
	w.ended = make(chan struct{})
	go w.wait(w.ended)
}

// endWait ends the running wait, if any. The caller holds mu.
func (w *Watch) endWait() {
	if w.ended == nil {
		return
	}
	_ = w.conn.netConn.SetReadDeadline(aLongTimeAgo)
	<-w.ended
	w.ended = nil
	_ = w.conn.netConn.SetReadDeadline(time.Time{})
}

// wait blocks until the client disconnects or the read deadline passes.
func (w *Watch) wait(ended chan<- struct{}) {
	defer close(ended)
	closed := false
	err := w.conn.raw.Read(func(fd uintptr) bool {
		closed = hungUp(fd)
		return closed
	})
	if err == nil && closed {
		w.onClosed()
	}
}
