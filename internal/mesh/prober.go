package mesh

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	proberShards = 8
	// firstProbe and maxProbe bound the growing pause between attempts to
	// connect to a lost node. The last one bounds how long a node that is back
	// gets no calls.
	firstProbe = 200 * time.Millisecond
	maxProbe   = time.Second
)

// prober connects to lost nodes in the background until they are back, so that
// no call pays for the attempt. It is safe for concurrent use.
type prober struct {
	// connect opens a connection to an address.
	connect func(ctx context.Context, addr string) error
	shards  [proberShards]proberShard
}

func newProber(connect func(ctx context.Context, addr string) error) *prober {
	p := &prober{connect: connect}
	for i := range p.shards {
		p.shards[i].running = map[string]struct{}{}
	}
	return p
}

func (p *prober) shard(addr string) *proberShard {
	return &p.shards[xxhash.Sum64String(addr)%proberShards]
}

// start probes a lost node unless it is being probed. It calls found once the
// node can be reached, and gives up when the context ends or wanted returns
// false.
func (p *prober) start(ctx context.Context, addr string, wanted func() bool, found func()) {
	s := p.shard(addr)
	if !s.begin(addr) {
		return
	}
	go func() {
		defer s.end(addr)
		p.run(ctx, addr, wanted, found)
	}()
}

func (p *prober) run(ctx context.Context, addr string, wanted func() bool, found func()) {
	for pause := firstProbe; ; pause = min(2*pause, maxProbe) {
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if !wanted() {
			return
		}
		if p.connect(ctx, addr) == nil {
			found()
			return
		}
	}
}
