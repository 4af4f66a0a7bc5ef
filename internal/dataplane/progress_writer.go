package dataplane

import (
	"net/http"
	"sync"
	"time"
)

// progressWriter answers a call of another node. Until the final header it
// sends an informational response at intervals, so that the sender can tell a
// slow upstream from a connection that went silent. The header map is its own,
// because informational responses are written by another goroutine.
type progressWriter struct {
	w        http.ResponseWriter
	header   http.Header
	stopOnce sync.Once
	stop     chan struct{}
	stopped  chan struct{}
	wrote    bool
}

func newProgressWriter(w http.ResponseWriter, interval time.Duration) *progressWriter {
	p := &progressWriter{w: w, header: http.Header{}, stop: make(chan struct{}), stopped: make(chan struct{})}
	go p.run(interval)
	return p
}

func (p *progressWriter) run(interval time.Duration) {
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

// end stops the informational responses. It can be called more than once.
func (p *progressWriter) end() {
	p.stopOnce.Do(func() { close(p.stop) })
	<-p.stopped
}

// Header implements http.ResponseWriter.
func (p *progressWriter) Header() http.Header { return p.header }

// WriteHeader implements http.ResponseWriter.
func (p *progressWriter) WriteHeader(status int) {
	p.end()
	p.wrote = true
	h := p.w.Header()
	for name, values := range p.header {
		h[name] = values
	}
	p.w.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (p *progressWriter) Write(b []byte) (int, error) {
	if !p.wrote {
		p.WriteHeader(http.StatusOK)
	}
	return p.w.Write(b)
}

// Unwrap lets http.ResponseController reach the underlying writer.
func (p *progressWriter) Unwrap() http.ResponseWriter { return p.w }
