package probe

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shardCount = 8
	// minProbeBackoff and maxProbeBackoff bound the exponential backoff between
	// attempts to connect to a lost node. maxProbeBackoff also bounds how long a
	// recovered node gets no calls.
	minProbeBackoff = 200 * time.Millisecond
	maxProbeBackoff = time.Second
)

// Prober connects to lost nodes in the background until they are reachable, so
// that no call has to wait for a connection attempt. It is safe for concurrent
// use.
type Prober struct {
	// connect opens a connection to an address.
	connect func(ctx context.Context, addr string) error
	shards  [shardCount]shard
}

// NewProber returns a prober that opens connections with connect.
func NewProber(connect func(ctx context.Context, addr string) error) *Prober {
	p := &Prober{connect: connect}
	for i := range p.shards {
		p.shards[i].active = map[string]struct{}{}
	}
	return p
}

func (p *Prober) shard(id string) *shard {
	return &p.shards[xxhash.Sum64String(id)%shardCount]
}

// Start probes the node beside a lost instance unless a probe of the instance
// is already running. Probes are per instance, since one node can serve two
// instances in succession. done is called once the node is reachable or needed
// returns false, but not if ctx ends first.
func (p *Prober) Start(ctx context.Context, id, addr string, needed func() bool, done func()) {
	s := p.shard(id)
	if !s.tryStart(id) {
		return
	}
	go func() {
		defer s.finish(id)
		p.run(ctx, addr, needed, done)
	}()
}

// run makes the connection attempts of one probe.
func (p *Prober) run(ctx context.Context, addr string, needed func() bool, done func()) {
	for backoff := minProbeBackoff; ; backoff = min(2*backoff, maxProbeBackoff) {
		timer := time.NewTimer(backoff)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if !needed() || p.connect(ctx, addr) == nil {
			done()
			return
		}
	}
}
