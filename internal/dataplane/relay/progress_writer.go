package relay

import (
	"net/http"
	"sync"
	"time"
)

// ProgressWriter writes the response to a call from another node. Until the final
// header it sends informational responses at intervals, so that the other node
// can distinguish a slow upstream from a dead connection. It has a header map of
// its own, because another goroutine writes the informational responses.
type ProgressWriter struct {
	w           http.ResponseWriter
	header      http.Header
	stopOnce    sync.Once
	stop        chan struct{}
	stopped     chan struct{}
	wroteHeader bool
}

// NewProgressWriter starts the informational responses. The caller must call
// Stop.
func NewProgressWriter(w http.ResponseWriter, interval time.Duration) *ProgressWriter {
	p := &ProgressWriter{w: w, header: http.Header{}, stop: make(chan struct{}), stopped: make(chan struct{})}
	go p.run(interval)
	return p
}

func (p *ProgressWriter) run(interval time.Duration) {
	defer close(p.stopped)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.w.WriteHeader(http.StatusProcessing)
		case <-p.stop:
			return
		}
	}
}

// Stop stops the informational responses and waits until none is being written.
// It can be called more than once.
func (p *ProgressWriter) Stop() {
	p.stopOnce.Do(func() { close(p.stop) })
	<-p.stopped
}

// Header implements http.ResponseWriter.
func (p *ProgressWriter) Header() http.Header { return p.header }

// WriteHeader implements http.ResponseWriter.
func (p *ProgressWriter) WriteHeader(status int) {
	p.Stop()
	p.wroteHeader = true
	h := p.w.Header()
	for name, values := range p.header {
		h[name] = values
	}
	p.w.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (p *ProgressWriter) Write(b []byte) (int, error) {
	if !p.wroteHeader {
		p.WriteHeader(http.StatusOK)
	}
	return p.w.Write(b)
}

// Unwrap lets http.ResponseController reach the underlying writer.
func (p *ProgressWriter) Unwrap() http.ResponseWriter { return p.w }
