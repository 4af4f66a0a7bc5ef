package mesh

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	proberShards = 8
	// minProbeBackoff and maxProbeBackoff bound the exponential backoff between
	// attempts to connect to a lost node. maxProbeBackoff also bounds how long a
	// recovered node gets no calls.
	minProbeBackoff = 200 * time.Millisecond
	maxProbeBackoff = time.Second
)

// prober connects to lost nodes in the background until they are reachable, so
// that no call has to wait for a connection attempt. It is safe for concurrent
// use.
type prober struct {
	// connect opens a connection to an address.
	connect func(ctx context.Context, addr string) error
	shards  [proberShards]proberShard
}

func newProber(connect func(ctx context.Context, addr string) error) *prober {
	p := &prober{connect: connect}
	for i := range p.shards {
		p.shards[i].active = map[string]struct{}{}
	}
	return p
}

func (p *prober) shard(id string) *proberShard {
	return &p.shards[xxhash.Sum64String(id)%proberShards]
}

// start probes the node beside a lost instance unless a probe of the instance
// is already running. Probes are per instance, since one node can serve two
// instances in succession. done is called once the node is reachable or needed
// returns false, but not if ctx ends first.
func (p *prober) start(ctx context.Context, id, addr string, needed func() bool, done func()) {
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
func (p *prober) run(ctx context.Context, addr string, needed func() bool, done func()) {
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
