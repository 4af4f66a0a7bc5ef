package mesh

import "time"

const (
	// maxBufferedBytes is the largest body that is buffered in memory. Buffered
	// requests can be retried; buffered responses are complete before their
	// first byte is forwarded.
	maxBufferedBytes = 1 << 20
	// maxAttemptsPerCall bounds the attempts of a call at the caller's node.
	maxAttemptsPerCall = 5
	// cleanupInterval is how often expired connections, observations and
	// directory entries are removed.
	cleanupInterval = time.Second
	// observationTTL is how long the observations of an unused instance are
	// kept.
	observationTTL = time.Minute
	// minRetryAfter and maxRetryAfter bound the Retry-After of refused calls,
	// without its random part.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// returnTimeShare is the share of a caller's remaining time after which it may be told
	// to come back. The remainder is for its next attempt.
	returnTimeShare = 1.0 / 3
	// downBackoff is how long the upstream is considered down after a failed
	// connection attempt.
	downBackoff = 200 * time.Millisecond
	// startupRetryAfter is the Retry-After of a node that has no configuration
	// version yet, without its random part.
	startupRetryAfter = 300 * time.Millisecond
	// noMemoryRetryAfter is the Retry-After of a call whose body found no memory,
	// without its random part. Bodies that arrive in full leave within their calls'
	// time limits.
	noMemoryRetryAfter = 500 * time.Millisecond
	// minAttemptTime is the time that must be left until the deadline for
	// another attempt.
	minAttemptTime = 5 * time.Millisecond
	// CallerIdleTimeout is the idle timeout of connections from callers. It is
	// longer than the idleTimeoutMs for callers in the configurations in use, so
	// that callers close idle connections first.
	CallerIdleTimeout = 75 * time.Second
	// peerClientIdleTimeout is the idle timeout of connections between nodes at
	// the sender.
	peerClientIdleTimeout = 30 * time.Second
	// PeerIdleTimeout is the idle timeout of connections between nodes at the
	// receiver. It is longer than the sender's, so that the sender closes first
	// and no call is sent on a connection that is being closed.
	PeerIdleTimeout = 90 * time.Second
	// upstreamIdleTimeout is the idle timeout of connections to the upstream. A
	// Keep-Alive header of the upstream can shorten it.
	upstreamIdleTimeout = 5 * time.Second
	// dialTimeout bounds the opening of a connection to another node or to the
	// upstream.
	dialTimeout = 300 * time.Millisecond
	// upstreamTCPUserTimeout is how long data sent to the upstream may stay
	// unacknowledged before the connection is considered dead.
	upstreamTCPUserTimeout = 1500 * time.Millisecond
	// peerTCPUserTimeout is the same for data sent to other nodes. It covers two
	// retransmissions on the path with the highest latency, so that a lost packet
	// is not taken for a lost node.
	peerTCPUserTimeout = 700 * time.Millisecond
	// quarantineShareInterval is how often a node that knows quarantined calls tells
	// another node of the service about them.
	quarantineShareInterval = 2 * time.Second
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes = 64 << 10
)
