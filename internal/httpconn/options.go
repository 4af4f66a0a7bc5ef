package httpconn

import "time"

// Options configures a Pool.
type Options struct {
	// IdleTimeout is how long an idle connection is kept. It must be shorter
	// than the server's idle timeout, or a request may be sent while the server
	// closes the connection.
	IdleTimeout time.Duration
	// MaxIdle bounds the idle connections per address.
	MaxIdle int
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// TCPUserTimeout is how long sent data may stay unacknowledged before the
	// connection is considered dead (TCP_USER_TIMEOUT); zero keeps the system's
	// default.
	TCPUserTimeout time.Duration
	// EchoHeader names the header in which the server echoes the id of the
	// request; empty if it does not. A response with another id belongs to an
	// earlier request and is skipped.
	EchoHeader string
	// LocalIP is the source address of connections; empty lets the system
	// choose.
	LocalIP string
}
