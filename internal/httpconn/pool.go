package httpconn

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// poolShards is enough for the addresses of a few dozen peers.
const poolShards = 16

// sockOptTCPUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall does
// not define.
const sockOptTCPUserTimeout = 18

// Pool sends requests over pooled connections. It is safe for concurrent use.
type Pool struct {
	options   Options
	dialer    net.Dialer
	shards    [poolShards]poolShard
	dialCount atomic.Int64
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	p := &Pool{options: o}
	p.dialer = net.Dialer{
		Timeout: o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: p.setTCPUserTimeout,
	}
	if ip := net.ParseIP(o.LocalIP); ip != nil {
		p.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	for i := range p.shards {
		p.shards[i].idle = map[string][]*conn{}
	}
	return p
}

func (p *Pool) setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	ms := int(p.options.TCPUserTimeout.Milliseconds())
	if ms <= 0 {
		return nil
	}
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, sockOptTCPUserTimeout, ms)
	})
	if err != nil {
		return err
	}
	return optionErr
}

func (p *Pool) shard(addr string) *poolShard { return &p.shards[xxhash.Sum64String(addr)%poolShards] }

// DialCount returns the number of connections opened so far.
func (p *Pool) DialCount() int64 { return p.dialCount.Load() }

// acquire returns an idle connection that is alive, or opens one. The error is
// a *DialError.
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
	p.dialCount.Add(1)
	return newConn(c), nil
}

// Warm opens a connection and adds it to the pool for a later request. The
// error is a *DialError, also if the server has closed the connection at once.
func (p *Pool) Warm(ctx context.Context, addr string) error {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return err
	}
	if !c.alive() {
		c.close()
		return &DialError{Addr: addr, Err: syscall.ECONNRESET}
	}
	p.release(addr, c, p.options.IdleTimeout)
	return nil
}

// release returns a connection to the pool for later requests.
func (p *Pool) release(addr string, c *conn, idleTimeout time.Duration) {
	c.reused = true
	c.idleUntil = time.Now().Add(idleTimeout)
	if evicted := p.shard(addr).put(addr, c, p.options.MaxIdle); evicted != nil {
		evicted.close()
	}
}

// CloseExpired closes the connections whose idle time has expired.
func (p *Pool) CloseExpired() {
	for i := range p.shards {
		closeAll(p.shards[i].remove(time.Now(), false))
	}
}

// Close closes all idle connections. Connections in use are not closed and
// return to the pool after their response.
func (p *Pool) Close() {
	for i := range p.shards {
		closeAll(p.shards[i].remove(time.Now(), true))
	}
}

func closeAll(list []*conn) {
	for _, c := range list {
		c.close()
	}
}
