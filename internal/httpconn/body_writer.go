package httpconn

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
)

// bodyWriter writes a request body to a connection while the response is read. It is safe
// for concurrent use.
type bodyWriter struct {
	conn net.Conn
	// mu is held during each write. It guards err, the error of the last write.
	mu  sync.Mutex
	err error
}

// Write implements io.Writer.
func (w *bodyWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.conn.Write(p)
	if err != nil {
		w.err = err
	}
	return n, err
}

// end ends the write that is in progress, if any, and makes further ones fail. It returns
// the error by which a write has learned that the server reset the connection or was lost
// before it had ended its response; nil if none has. The kernel reports such an error
// only once: if a write gets it, the reads end as they do after the end of a response.
// After that end a reset is reported as EPIPE.
func (w *bodyWriter) end() error {
	_ = w.conn.SetWriteDeadline(aLongTimeAgo)
	w.mu.Lock()
	defer w.mu.Unlock()
	if errors.Is(w.err, os.ErrDeadlineExceeded) || errors.Is(w.err, syscall.EPIPE) {
		return nil
	}
	return w.err
}
