package telemetry

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"
)

// Guards against requests that wait for a log which nobody reads.
func TestAsyncWriterDoesNotBlockOnAnUnreadPipe(t *testing.T) {
	r, out := io.Pipe()
	defer func() { _ = r.Close() }()
	w := NewAsyncWriter(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * asyncLines {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the writers are blocked")
	}
	if w.LeftOut() == 0 {
		t.Error("no line was left out")
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
}

// Guards against losing the last lines of a process and the count of those that
// were left out.
func TestAsyncWriterFlushesAtTheEnd(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	w.leftOut.Store(3)
	_, _ = w.Write([]byte("last\n"))
	w.Close()
	if !strings.Contains(out.String(), "last\n") || !strings.Contains(out.String(), `"count":3`) {
		t.Errorf("got %q", out.String())
	}
}

// wholeLines fails for writes that a pipe may tear.
type wholeLines struct {
	t *testing.T
}

func (w wholeLines) Write(p []byte) (int, error) {
	if len(p) > asyncBatch || p[len(p)-1] != '\n' {
		w.t.Errorf("a write of %d bytes", len(p))
	}
	return len(p), nil
}

// Guards against torn lines: the log of incident inc-f246 had lines that ended
// inside another one, because batches were larger than a pipe takes as a whole.
func TestAsyncWriterWritesWholeLines(t *testing.T) {
	w := NewAsyncWriter(wholeLines{t})
	for range 500 {
		_, _ = w.Write([]byte(strings.Repeat("x", 99) + "\n"))
	}
	w.Close()
}
