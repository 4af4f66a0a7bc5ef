package mesh

import "time"

const (
	// maxBufferedBytes is the largest body that is held in memory. Held requests can
	// be sent again; held answers are complete before their first byte is
	// passed on.
	maxBufferedBytes = 1 << 20
	// maxAttemptsPerCall bounds the nodes that one call is offered to.
	maxAttemptsPerCall = 5
	// cleanupInterval is how often idle connections and old observations are
	// dropped.
	cleanupInterval = time.Second
	// observationTTL is how long an unused instance is remembered.
	observationTTL = time.Minute
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// downBackoff is how long an upstream that refuses connections counts as
	// down.
	downBackoff = 200 * time.Millisecond
	// startupRetryAfter is what callers of a node without a version are told.
	startupRetryAfter = 300 * time.Millisecond
	// minAttemptTime is the least time left with which another attempt is made.
	minAttemptTime = 5 * time.Millisecond
	// CallerIdleTimeout is how long a caller's connection may be idle. It is longer
	// than the limits of the versions in use, so that callers close first.
	CallerIdleTimeout = 75 * time.Second
	// peerClientIdleTimeout is how long a connection between nodes may be idle at the
	// sender.
	peerClientIdleTimeout = 30 * time.Second
	// PeerIdleTimeout is the same at the receiver. It is longer, so that senders close
	// first and no call meets the close.
	PeerIdleTimeout = 90 * time.Second
	// upstreamIdleTimeout is the same for a connection to the upstream that names no
	// time of its own.
	upstreamIdleTimeout = 5 * time.Second
	// dialTimeout bounds the opening of a connection within the fleet.
	dialTimeout = 300 * time.Millisecond
	// upstreamUserTimeout is how long sent bytes may stay unacknowledged.
	upstreamUserTimeout = 1500 * time.Millisecond
	// peerUserTimeout is the same between nodes. It covers two retransmissions over
	// the longest way, so that a lost packet is not taken for a lost node.
	peerUserTimeout = 700 * time.Millisecond
	// MaxHeaderBytes bounds the header of a call.
	MaxHeaderBytes = 64 << 10
)
