package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/filbertpier/filbertpier/internal/message"
)

// link sends messages to one address: a bounded queue and the goroutine that
// writes its messages to a connection. After a failure it dials again for the
// next message.
type link struct {
	addr        string
	crossRegion bool
	dialer      *net.Dialer
	traffic     Traffic
	queue       chan message.Message
	done        chan struct{}
	// probing is set while a probe is unanswered.
	probing atomic.Bool
}

func newLink(addr string, crossRegion bool, dialer *net.Dialer, traffic Traffic) *link {
	return &link{
		addr: addr, crossRegion: crossRegion, dialer: dialer, traffic: traffic,
		queue: make(chan message.Message, queueLength),
		done:  make(chan struct{}),
	}
}

// enqueue adds a message or drops it if the queue is full.
func (l *link) enqueue(m message.Message) {
	select {
	case l.queue <- m:
	default:
		l.traffic.Dropped()
	}
}

// run writes messages until the link is idle or ctx ends.
func (l *link) run(ctx context.Context) {
	defer close(l.done)
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(idleTimeout):
			return
		case m := <-l.queue:
			start := time.Now()
			l.writeQueue(ctx, m)
			if time.Since(start) > minStableTime {
				failures = 0
				continue
			}
			failures++
			if !l.backOff(ctx, failures) {
				return
			}
		}
	}
}

// writeQueue dials, writes m and then the queue until the connection fails, stops
// responding or is idle. m is lost if the dial fails.
func (l *link) writeQueue(ctx context.Context, m message.Message) {
	raw, err := l.dial(ctx)
	if err != nil {
		return
	}
	conn := jsonrpc2.NewConn(ctx, newStream(raw, l.traffic), nopHandler{}, discardLibraryLog)
	defer func() { _ = conn.Close() }()
	l.probing.Store(false)
	for {
		if err := conn.Notify(ctx, string(m.Kind()), m); err != nil {
			return
		}
		if len(l.queue) == 0 {
			l.probe(ctx, conn)
		}
		select {
		case m = <-l.queue:
		case <-conn.DisconnectNotify():
			return
		case <-time.After(idleTimeout):
			return
		case <-ctx.Done():
			return
		}
	}
}

// dial returns a connection that counts written bytes, and compresses them if the
// peer is in another region.
func (l *link) dial(ctx context.Context) (net.Conn, error) {
	raw, err := l.dialer.DialContext(ctx, "tcp", l.addr)
	if err != nil {
		return nil, err
	}
	counted := &countingConn{Conn: raw, traffic: l.traffic, crossRegion: l.crossRegion}
	if !l.crossRegion {
		return counted, nil
	}
	compressed, err := newCompressedConn(counted)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return compressed, nil
}

// probe sends a liveness request in the background, unless one is pending, and
// closes the connection if no response arrives within probeTimeout. It is needed
// because messages are notifications, which have no responses.
func (l *link) probe(ctx context.Context, conn *jsonrpc2.Conn) {
	if !l.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer l.probing.Store(false)
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		if err := conn.Call(ctx, probeMethod, nil, nil); err != nil && ctx.Err() == context.DeadlineExceeded {
			l.traffic.SilentConnection()
			_ = conn.Close()
		}
	}()
}

// backOff waits after a failed dial or a connection that ended early. It returns
// false if ctx ended meanwhile.
func (l *link) backOff(ctx context.Context, failures int) bool {
	d := min(redialBase<<min(failures, 6), redialMax)
	d = d/2 + rand.N(d)
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// stopped reports whether run has returned.
func (l *link) stopped() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}
