package httpconn

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// poolShards spreads the addresses of a few dozen peers.
const poolShards = 16

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux, which the
// package syscall does not name.
const tcpUserTimeout = 18

// Pool sends requests over kept connections. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer
	shards  [poolShards]poolShard
	dialled atomic.Int64
}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	p := &Pool{options: o}
	p.dialer = net.Dialer{
		Timeout: o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: p.setSilenceTimeout,
	}
	if ip := net.ParseIP(o.LocalIP); ip != nil {
		p.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	for i := range p.shards {
		p.shards[i].idle = map[string][]*conn{}
	}
	return p
}

func (p *Pool) setSilenceTimeout(_, _ string, raw syscall.RawConn) error {
	ms := int(p.options.TCPUserTimeout.Milliseconds())
	if ms <= 0 {
		return nil
	}
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, ms)
	})
	if err != nil {
		return err
	}
	return failed
}

func (p *Pool) shard(addr string) *poolShard { return &p.shards[xxhash.Sum64String(addr)%poolShards] }

// Dialled returns the number of connections opened so far.
func (p *Pool) Dialled() int64 { return p.dialled.Load() }

// acquire returns an idle connection that is alive, or opens one. It returns a
// *DialError.
func (p *Pool) acquire(ctx context.Context, addr string) (*conn, error) {
	for {
		c, expired := p.shard(addr).get(time.Now(), addr)
		closeAll(expired)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.alive() {
			return c, nil
		}
		c.close()
	}
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	c, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, &DialError{Addr: addr, Err: err}
	}
	p.dialled.Add(1)
	return newConn(c), nil
}

// Warm opens a connection and keeps it for a later request. It returns a
// *DialError.
func (p *Pool) Warm(ctx context.Context, addr string) error {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return err
	}
	p.release(addr, c, p.options.IdleTimeout)
	return nil
}

// release keeps a connection for later requests.
func (p *Pool) release(addr string, c *conn, keep time.Duration) {
	c.used = true
	c.keepUntil = time.Now().Add(keep)
	if drop := p.shard(addr).put(addr, c, p.options.MaxIdle); drop != nil {
		drop.close()
	}
}

// CloseIdle closes the connections that were idle for too long.
func (p *Pool) CloseIdle() {
	for i := range p.shards {
		closeAll(p.shards[i].take(time.Now(), false))
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	for i := range p.shards {
		closeAll(p.shards[i].take(time.Now(), true))
	}
}

func closeAll(list []*conn) {
	for _, c := range list {
		c.close()
	}
}
