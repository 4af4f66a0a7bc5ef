package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedChunks limits the chunks in transit in one direction. A full queue
// stops reading, like a full TCP window.
const maxQueuedChunks = 256

// Forwarder forwards the connections of one listener. It is safe for
// concurrent use.
type Forwarder struct {
	listener net.Listener
	target   string
	delay    Delay
	// dropRequests drops data towards the target, dropReplies data from it.
	dropRequests, dropReplies atomic.Bool
	wg                        sync.WaitGroup
	// mu guards conns and closed.
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// Listen starts a forwarder from the listening address addr to target. It
// returns the error of net.Listen.
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

// Addr returns the listening address, with the port that was chosen for port 0.
func (f *Forwarder) Addr() string { return f.listener.Addr().String() }

// DropData drops the data of all connections in both directions while on is
// set. The connections stay open.
func (f *Forwarder) DropData(on bool) {
	f.dropRequests.Store(on)
	f.dropReplies.Store(on)
}

// DropReplies drops only the data that comes from the target while on is set.
func (f *Forwarder) DropReplies(on bool) { f.dropReplies.Store(on) }

// CloseConnections closes the open connections. New ones are still accepted.
func (f *Forwarder) CloseConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		_ = c.Close()
	}
}

// Close stops listening, closes the open connections and waits for the
// forwarder's goroutines to end.
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
	var pipes sync.WaitGroup
	pipes.Add(2)
	go func() { defer pipes.Done(); f.pipe(out, in, delay, &f.dropRequests) }()
	go func() { defer pipes.Done(); f.pipe(in, out, delay, &f.dropReplies) }()
	pipes.Wait()
}

// track registers connections so that Close closes them. If the forwarder is
// already closed, it closes them and returns false.
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

// pipe copies data from src to dst with a delay until one of them is closed. It
// drops the data that is due while drop is set.
func (f *Forwarder) pipe(dst, src net.Conn, delay time.Duration, drop *atomic.Bool) {
	queue := make(chan chunk, maxQueuedChunks)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for c := range queue {
			if wait := time.Until(c.deliverAt); wait > 0 {
				t := time.NewTimer(wait)
				<-t.C
			}
			if drop.Load() {
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
			queue <- chunk{data: buf[:n], deliverAt: time.Now().Add(delay)}
		}
		if err != nil {
			break
		}
	}
	close(queue)
	<-done
}
