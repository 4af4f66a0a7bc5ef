package intake

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

const connShards = 16

// Guard holds the accounts of a process and its clients' connections. It is safe for
// concurrent use.
type Guard struct {
	memory, connections account
	shards              [connShards]connShard
	// accepted counts the connections, which are spread over the shards by number.
	accepted atomic.Uint64
	metrics  *Metrics
	log      hclog.Logger
	// turnedAway counts the clients turned away since the last log line.
	turnedAway atomic.Int64
}

// NewGuard returns a guard. The caller must start Run.
func NewGuard(o Options) *Guard {
	g := &Guard{metrics: o.Metrics, log: o.Log}
	g.memory.limit, g.connections.limit = o.memoryLimit(), o.connectionLimit()
	for i := range g.shards {
		g.shards[i].conns = map[*Conn]struct{}{}
	}
	return g
}

// Listener returns a listener whose connections are guarded.
func (g *Guard) Listener(l net.Listener, c Class) net.Listener {
	return &guardedListener{Listener: l, guard: g, class: c}
}

// Handler returns a handler that gives back the memory of each call at its end. The
// server's ConnContext must be that of this package.
func (g *Guard) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := FromContext(r.Context()); c != nil {
			c.beginCall()
			defer c.endCall()
		}
		h.ServeHTTP(w, r)
	})
}

// Run closes the connections of stalled clients until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.closeStalled(now)
			g.report()
		}
	}
}

func (g *Guard) closeStalled(now time.Time) {
	var stalled []*Conn
	g.each(func(c *Conn) {
		if c.behind(now) > maxBehind {
			stalled = append(stalled, c)
		}
	})
	for _, c := range stalled {
		g.countTurnedAway(c.class, CauseStalled)
		_ = c.Close()
	}
}

// report sets the gauges and logs how many clients were turned away.
func (g *Guard) report() {
	memory, connections := g.memory.used.Load(), g.connections.used.Load()
	g.metrics.MemoryBytes.Set(float64(memory))
	g.metrics.Connections.Set(float64(connections))
	if n := g.turnedAway.Swap(0); n > 0 {
		g.log.Warn("clients turned away", "count", n, "memory_bytes", memory, "memory_limit", g.memory.limit,
			"connections", connections, "connection_limit", g.connections.limit)
	}
}

// admit returns the guarded connection, or nil if there is no room for it.
func (g *Guard) admit(c net.Conn, class Class) *Conn {
	if !g.connections.take(class, 1) && !(g.evict(idleOrStalled) && g.connections.take(class, 1)) {
		g.countTurnedAway(class, CauseConnections)
		return nil
	}
	guarded := &Conn{Conn: c, guard: g, class: class, shard: &g.shards[g.accepted.Add(1)%connShards]}
	guarded.shard.add(guarded)
	return guarded
}

// takeMemory charges the account for a connection, and evicts stopped clients until
// there is room.
func (g *Guard) takeMemory(c *Conn, n int64) bool {
	for !g.memory.take(c.class, n) {
		if !g.evict(func(other *Conn, now time.Time) time.Duration {
			if other == c || other.charged.Load() == 0 {
				return 0
			}
			return other.behind(now)
		}) {
			return false
		}
	}
	return true
}

func idleOrStalled(c *Conn, now time.Time) time.Duration {
	return max(c.idleFor(now), c.behind(now))
}

// evict closes the connection that waits longest for its client, by wait, if it does so
// for evictableBehind at least. It reports whether there was one.
func (g *Guard) evict(wait func(c *Conn, now time.Time) time.Duration) bool {
	now := time.Now()
	var victim *Conn
	longest := evictableBehind
	g.each(func(c *Conn) {
		if d := wait(c, now); d >= longest {
			victim, longest = c, d
		}
	})
	if victim == nil {
		return false
	}
	g.countTurnedAway(victim.class, CauseEvicted)
	_ = victim.Close()
	return true
}

func (g *Guard) each(visit func(*Conn)) {
	for i := range g.shards {
		g.shards[i].each(visit)
	}
}

func (g *Guard) remove(c *Conn) {
	g.connections.give(1)
	c.shard.remove(c)
}

func (g *Guard) countTurnedAway(class Class, cause Cause) {
	g.turnedAway.Add(1)
	g.metrics.TurnedAway.WithLabelValues(class.String(), string(cause)).Inc()
}
