package telemetry

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"
)

// Guards against requests that block in the logger because the log's pipe is not
// read.
func TestAsyncWriterDoesNotBlockOnAnUnreadPipe(t *testing.T) {
	r, out := io.Pipe()
	defer func() { _ = r.Close() }()
	w := NewAsyncWriter(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * asyncQueueLines {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked")
	}
	if w.Dropped() == 0 {
		t.Error("got no dropped lines, want some")
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
}

// Guards against losing the last lines of a process and the count of dropped
// lines.
func TestAsyncWriterFlushesOnClose(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	w.dropped.Store(3)
	_, _ = w.Write([]byte("last\n"))
	w.Close()
	if !strings.Contains(out.String(), "last\n") || !strings.Contains(out.String(), `"count":3`) {
		t.Errorf("got %q, want the last line and the count 3", out.String())
	}
}

// wholeLineChecker fails the test for writes that are too large to be atomic on a pipe
// or that end inside a line.
type wholeLineChecker struct {
	t *testing.T
}

func (w wholeLineChecker) Write(p []byte) (int, error) {
	if len(p) > asyncMaxWriteBytes || p[len(p)-1] != '\n' {
		w.t.Errorf("write of %d bytes is not atomic or ends inside a line", len(p))
	}
	return len(p), nil
}

// Guards against interleaved lines: in incident inc-f246 log lines were
// interrupted by others, because batches exceeded the atomic write size of a
// pipe.
func TestAsyncWriterWritesWholeLines(t *testing.T) {
	w := NewAsyncWriter(wholeLineChecker{t})
	for range 500 {
		_, _ = w.Write([]byte(strings.Repeat("x", 99) + "\n"))
	}
	w.Close()
}
