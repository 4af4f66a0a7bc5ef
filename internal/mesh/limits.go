package mesh

import "time"

const (
	// holdBytes is the largest body that is held in memory. Held requests can
	// be sent again; held answers are complete before their first byte is
	// passed on.
	holdBytes = 1 << 20
	// maxHops bounds the nodes that one call is offered to.
	maxHops = 5
	// refreshInterval is how often idle connections and old observations are
	// dropped.
	refreshInterval = time.Second
	// beliefMemory is how long an unused instance is remembered.
	beliefMemory = time.Minute
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// downBackoff is how long an upstream that refuses connections counts as
	// down.
	downBackoff = 200 * time.Millisecond
	// startupRetry is what callers of a node without a version are told.
	startupRetry = 300 * time.Millisecond
	// minAttempt is the least time left with which another attempt is made.
	minAttempt = 5 * time.Millisecond
	// CallerIdleTimeout is how long a caller's connection may be idle. It is longer
	// than the limits of the versions in use, so that callers close first.
	CallerIdleTimeout = 75 * time.Second
	// peerIdle is how long a connection between nodes may be idle at the
	// sender.
	peerIdle = 30 * time.Second
	// PeerIdleTimeout is the same at the receiver. It is longer, so that senders close
	// first and no call meets the close.
	PeerIdleTimeout = 90 * time.Second
	// upstreamIdle is the same for a connection to the upstream that names no
	// time of its own.
	upstreamIdle = 5 * time.Second
	// dialTimeout bounds the opening of a connection within the fleet.
	dialTimeout = 300 * time.Millisecond
	// silence is how long sent bytes may stay unacknowledged.
	silence = 1500 * time.Millisecond
	// peerSilence is the same between nodes. It covers two retransmissions over
	// the longest way, so that a lost packet is not taken for a lost node.
	peerSilence = 700 * time.Millisecond
	// MaxHeaderBytes bounds the header of a call.
	MaxHeaderBytes = 64 << 10
)
