package peer

import (
	"context"
	"net"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/listener"
)

const linkShardCount = 16

// Transport sends messages to other nodes and passes those it receives to a
// Receiver. It is safe for concurrent use.
type Transport struct {
	ctx      context.Context
	cancel   context.CancelFunc
	receive  Receiver
	traffic  Traffic
	dialer   *net.Dialer
	listener net.Listener
	shards   [linkShardCount]linkShard
	wg       sync.WaitGroup
}

// Listen returns a transport that accepts connections on addr and dials from
// localIP, or from any address if it is empty. It returns a *listener.Error.
func Listen(addr, localIP string, traffic Traffic, receive Receiver) (*Transport, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &listener.Error{Addr: addr, Err: err}
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{ctx: ctx, cancel: cancel, receive: receive, traffic: traffic, dialer: newDialer(localIP), listener: l}
	for i := range t.shards {
		t.shards[i].links = map[linkKey]*link{}
	}
	t.wg.Add(1)
	go t.accept()
	return t, nil
}

func newDialer(localIP string) *net.Dialer {
	d := &net.Dialer{Timeout: dialTimeout}
	if ip := net.ParseIP(localIP); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

// Addr returns the listening address with the actual port.
func (t *Transport) Addr() string { return t.listener.Addr().String() }

// Close closes all connections and waits for the transport's goroutines.
func (t *Transport) Close() {
	t.cancel()
	_ = t.listener.Close()
	t.wg.Wait()
}

// Send queues a message for delivery. It does not wait for the network, and drops
// the message if the queue is full or the transport is closed.
func (t *Transport) Send(s effect.Send) {
	key := linkKey{addr: s.Addr, class: classOf(s.Message.Kind())}
	shard := &t.shards[xxhash.Sum64String(key.addr)%linkShardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	l, ok := shard.links[key]
	if !ok || l.stopped() {
		if t.ctx.Err() != nil {
			return
		}
		l = newLink(s.Addr, s.CrossRegion, t.dialer, t.traffic)
		shard.links[key] = l
		t.wg.Add(1)
		go t.runLink(shard, key, l)
	}
	l.enqueue(s.Message)
}

func (t *Transport) runLink(shard *linkShard, key linkKey, l *link) {
	defer t.wg.Done()
	l.run(t.ctx)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.links[key] == l {
		delete(shard.links, key)
	}
}

func (t *Transport) accept() {
	defer t.wg.Done()
	for {
		raw, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			t.serve(raw)
		}()
	}
}

// serve reads one incoming connection until it ends.
func (t *Transport) serve(raw net.Conn) {
	stop := context.AfterFunc(t.ctx, func() { _ = raw.Close() })
	defer stop()
	in, err := newIncomingConn(&countingConn{Conn: raw, traffic: t.traffic})
	if err != nil {
		_ = raw.Close()
		return
	}
	defer in.release()
	conn := jsonrpc2.NewConn(t.ctx, newStream(in, t.traffic), handler{receive: t.receive, traffic: t.traffic}, discardLibraryLog)
	<-conn.DisconnectNotify()
	_ = conn.Close()
}
