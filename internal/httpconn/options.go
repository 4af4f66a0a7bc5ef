package httpconn

import "time"

// Options configures a Pool.
type Options struct {
	// IdleTimeout is how long a connection is kept without a request. It must
	// be shorter than the other side's, or a request may meet the close.
	IdleTimeout time.Duration
	// MaxIdle bounds the idle connections per address.
	MaxIdle int
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// TCPUserTimeout is how long sent bytes may stay unacknowledged before
	// the connection counts as dead.
	TCPUserTimeout time.Duration
	// EchoHeader names the header in which the other side repeats the
	// request's id; empty if it does not. An answer with another id belongs to
	// an earlier request and is skipped.
	EchoHeader string
	// LocalIP is the address to connect from; empty lets the system choose.
	LocalIP string
}
