package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// gate forwards TCP connections to the store and can be cut: bytes are held up in
// both directions, silently, until it is restored.
type gate struct {
	rec    *record
	name   string
	target string
	mu     sync.Mutex
	cond   *sync.Cond
	cut    bool
	cutAt  time.Time
}

func newGate(rec *record, name, addr, target string) (*gate, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	g := &gate{rec: rec, name: name, target: target}
	g.cond = sync.NewCond(&g.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.forward(c)
		}
	}()
	return g, nil
}

func (g *gate) set(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut, g.cutAt = cut, time.Now()
	g.rec.log("the path of %s to the store is cut: %v", g.name, cut)
	g.cond.Broadcast()
}

func (g *gate) forward(c net.Conn) {
	opened := time.Now()
	defer func() { _ = c.Close() }()
	g.wait()
	t, err := net.Dial("tcp", g.target)
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()
	done := make(chan struct{}, 2)
	go g.copy(t, c, opened, true, done)
	go g.copy(c, t, opened, false, done)
	<-done
}

// wait blocks while the gate is cut.
func (g *gate) wait() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.cut {
		g.cond.Wait()
	}
}

func (g *gate) copy(dst io.Writer, src io.Reader, opened time.Time, up bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			g.mu.Lock()
			if g.cut && up {
				g.rec.log("  a request of %s is held up, on a connection opened %.1f s before the cut", g.name, g.cutAt.Sub(opened).Seconds())
			}
			g.mu.Unlock()
			g.wait()
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
