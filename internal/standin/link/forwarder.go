package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// queueChunks bounds the chunks under way in one direction; a full queue stops
// reading, like a full window.
const queueChunks = 256

// Forwarder forwards the connections of one listener. It is safe for
// concurrent use.
type Forwarder struct {
	listener net.Listener
	target   string
	delay    Delay
	// silentIn and silentOut swallow the data of one direction: towards the
	// target and back.
	silentIn, silentOut atomic.Bool
	wg                  sync.WaitGroup
	// mu guards conns and closed.
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// Listen forwards connections to addr to target. It returns an error of the
// operating system.
func Listen(addr, target string, delay Delay) (*Forwarder, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	f := &Forwarder{listener: l, target: target, delay: delay, conns: map[net.Conn]struct{}{}}
	f.wg.Add(1)
	go f.accept()
	return f, nil
}

// Addr returns the listening address.
func (f *Forwarder) Addr() string { return f.listener.Addr().String() }

// DropData makes open connections swallow all data, in both directions, while
// it is set; they stay open.
func (f *Forwarder) DropData(on bool) {
	f.silentIn.Store(on)
	f.silentOut.Store(on)
}

// DropReplies makes open connections swallow the data that comes back.
func (f *Forwarder) DropReplies(on bool) { f.silentOut.Store(on) }

// CloseConnections closes the open connections; new ones work.
func (f *Forwarder) CloseConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		_ = c.Close()
	}
}

// Close ends the forwarder and its connections.
func (f *Forwarder) Close() {
	_ = f.listener.Close()
	f.mu.Lock()
	f.closed = true
	for c := range f.conns {
		_ = c.Close()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

func (f *Forwarder) accept() {
	defer f.wg.Done()
	for {
		in, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.wg.Add(1)
		go f.serve(in)
	}
}

func (f *Forwarder) serve(in net.Conn) {
	defer f.wg.Done()
	delay := f.delay(in.RemoteAddr())
	out, err := net.DialTimeout("tcp", f.target, time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	if !f.track(in, out) {
		return
	}
	defer f.untrack(in, out)
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); f.pipe(out, in, delay, &f.silentIn) }()
	go func() { defer both.Done(); f.pipe(in, out, delay, &f.silentOut) }()
	both.Wait()
}

func (f *Forwarder) track(conns ...net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range conns {
		if f.closed {
			_ = c.Close()
			continue
		}
		f.conns[c] = struct{}{}
	}
	return !f.closed
}

func (f *Forwarder) untrack(conns ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(f.conns, c)
	}
}

// pipe copies one direction with a delay.
func (f *Forwarder) pipe(dst, src net.Conn, delay time.Duration, silent *atomic.Bool) {
	queue := make(chan chunk, queueChunks)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for c := range queue {
			if wait := time.Until(c.due); wait > 0 {
				t := time.NewTimer(wait)
				<-t.C
			}
			if silent.Load() {
				continue
			}
			if _, err := dst.Write(c.data); err != nil {
				_ = src.Close()
			}
		}
		_ = dst.Close()
	}()
	for {
		buf := make([]byte, 16<<10)
		n, err := src.Read(buf)
		if n > 0 {
			queue <- chunk{data: buf[:n], due: time.Now().Add(delay)}
		}
		if err != nil {
			break
		}
	}
	close(queue)
	<-done
}
