package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// asyncLines bounds the lines that wait to be written.
	asyncLines = 4096
	// asyncGather is how long lines are gathered into one write: a write for
	// each line costs a call of the kernel.
	asyncGather = 50 * time.Millisecond
	// asyncBatch bounds one write: a pipe takes up to this many bytes as a whole,
	// so that lines are never torn.
	asyncBatch = 4096
	// asyncFlush bounds the writing of the rest at the end.
	asyncFlush = 500 * time.Millisecond
)

// AsyncWriter writes log lines without blocking their writers: lines that find
// no place are left out and counted, and the count is written when there is
// room again. It is safe for concurrent use.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	leftOut atomic.Int64
	closing chan struct{}
	done    chan struct{}
}

// NewAsyncWriter starts a writer.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, asyncLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and returns no error.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(p):
	default:
		w.leftOut.Add(1)
	}
	return len(p), nil
}

// LeftOut returns the lines that were left out and not reported yet.
func (w *AsyncWriter) LeftOut() int64 { return w.leftOut.Load() }

// Close writes what waits, for a short time at most.
func (w *AsyncWriter) Close() {
	close(w.closing)
	timer := time.NewTimer(asyncFlush)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	var batch []byte
	for {
		select {
		case line := <-w.lines:
			batch = append(batch[:0], line...)
		case <-w.closing:
			w.flush(batch[:0])
			return
		}
		timer := time.NewTimer(asyncGather)
		select {
		case <-timer.C:
		case <-w.closing:
			timer.Stop()
		}
		w.flush(batch)
	}
}

// flush writes a batch and all lines that wait.
func (w *AsyncWriter) flush(batch []byte) {
	for {
		select {
		case line := <-w.lines:
			batch = w.add(batch, line)
			continue
		default:
		}
		break
	}
	if n := w.leftOut.Swap(0); n > 0 {
		now := time.Now().UTC().Format(time.RFC3339Nano)
		batch = w.add(batch, fmt.Appendf(nil, "{\"@level\":\"warn\",\"@message\":\"log lines left out\",\"@timestamp\":%q,\"count\":%d}\n", now, n))
	}
	w.write(batch)
}

// add appends a line to a batch and writes the batch before if it gets too
// large.
func (w *AsyncWriter) add(batch, line []byte) []byte {
	if len(batch)+len(line) > asyncBatch {
		w.write(batch)
		batch = batch[:0]
	}
	return append(batch, line...)
}

func (w *AsyncWriter) write(batch []byte) {
	if len(batch) > 0 {
		// A log that cannot be written has nowhere to be reported.
		_, _ = w.out.Write(batch)
	}
}
