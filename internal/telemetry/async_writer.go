package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// asyncQueueLines is the number of lines that may wait to be written.
	asyncQueueLines = 4096
	// asyncBatchDelay is how long lines are collected for one write, since a
	// separate write costs a system call per line.
	asyncBatchDelay = 50 * time.Millisecond
	// asyncMaxWriteBytes is the size limit of one write; only a longer line
	// exceeds it. A write of up to this many bytes to a pipe is atomic (PIPE_BUF),
	// so that lines are not interleaved with those of other writers.
	asyncMaxWriteBytes = 4096
	// asyncCloseTimeout is how long Close waits for the queued lines to be
	// written.
	asyncCloseTimeout = 500 * time.Millisecond
)

// AsyncWriter queues log lines and writes them in batches, without blocking the
// caller. Lines that do not fit in the queue are dropped and counted, and the
// count is logged with the next batch. It is safe for concurrent use.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
}

// NewAsyncWriter starts a writer to out. Close stops it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, asyncQueueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and returns no error.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(p):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of dropped lines that are not logged yet.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines, but gives up after asyncCloseTimeout. It must
// be called only once.
func (w *AsyncWriter) Close() {
	close(w.closing)
	timer := time.NewTimer(asyncCloseTimeout)
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
		timer := time.NewTimer(asyncBatchDelay)
		select {
		case <-timer.C:
		case <-w.closing:
			timer.Stop()
		}
		w.flush(batch)
	}
}

// flush writes a batch and all queued lines.
func (w *AsyncWriter) flush(batch []byte) {
	for {
		select {
		case line := <-w.lines:
			batch = w.appendLine(batch, line)
			continue
		default:
		}
		break
	}
	if n := w.dropped.Swap(0); n > 0 {
		now := time.Now().UTC().Format(time.RFC3339Nano)
		batch = w.appendLine(batch, fmt.Appendf(nil, "{\"@level\":\"warn\",\"@message\":\"log lines left out\",\"@timestamp\":%q,\"count\":%d}\n", now, n))
	}
	w.write(batch)
}

// appendLine appends a line to a batch. If the batch would exceed
// asyncMaxWriteBytes, the batch is written first and a new one is started.
func (w *AsyncWriter) appendLine(batch, line []byte) []byte {
	if len(batch)+len(line) > asyncMaxWriteBytes {
		w.write(batch)
		batch = batch[:0]
	}
	return append(batch, line...)
}

func (w *AsyncWriter) write(batch []byte) {
	if len(batch) > 0 {
		// There is no other place to report that the log cannot be written.
		_, _ = w.out.Write(batch)
	}
}
