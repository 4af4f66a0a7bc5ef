package mesh

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	proberShards = 8
	// minProbePause and maxProbe bound the growing pause between attempts to
	// connect to a lost node. The last one bounds how long a node that is back
	// gets no calls.
	minProbePause = 200 * time.Millisecond
	maxProbePause = time.Second
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
		p.shards[i].active = map[string]struct{}{}
	}
	return p
}

func (p *prober) shard(id string) *proberShard {
	return &p.shards[xxhash.Sum64String(id)%proberShards]
}

// start probes the node beside a lost instance unless that is under way. Two
// instances may have one node after each other, so each has a probe of its own.
// It calls end once the node can be reached, or wanted returns false; not if
// the context ends first.
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

func (p *prober) run(ctx context.Context, addr string, needed func() bool, done func()) {
	for pause := minProbePause; ; pause = min(2*pause, maxProbePause) {
		timer := time.NewTimer(pause)
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
