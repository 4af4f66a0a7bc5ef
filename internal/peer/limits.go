package peer

import "time"

const (
	// queueLength bounds the messages queued for one connection. Further ones
	// are dropped; heartbeats and anti-entropy repeat their content.
	queueLength = 256
	// dialTimeout bounds a connection attempt. Connecting takes about 1 ms
	// within a region and one round trip of 60 ms between regions.
	dialTimeout = time.Second
	// probeTimeout is how long a probe may stay unanswered before the
	// connection is replaced: three heartbeat intervals.
	probeTimeout = 3 * time.Second
	// idleTimeout is the time without messages after which an outgoing
	// connection is closed.
	idleTimeout = 30 * time.Second
	// incomingIdleTimeout is the time without data after which an incoming
	// connection is closed. It is longer than idleTimeout, after which the
	// dialling side closes the connection itself.
	incomingIdleTimeout = 2 * idleTimeout
	// maxMessageBytes bounds an incoming message. A join response with 7,300
	// records of about 250 bytes takes 1.8 MB, a complete document a few
	// megabytes more.
	maxMessageBytes = 16 << 20
	// streamWindowBytes is the window size of compressed streams. It holds a few
	// hundred heartbeats; a larger one costs memory for each connection.
	streamWindowBytes = 64 << 10
	// minStableTime is how long a connection must last to reset the backoff.
	// Without this minimum a peer that accepts and closes at once would be
	// dialled again for each message.
	minStableTime = 2 * time.Second
	// The backoff after n failed or short-lived connections in a row is
	// redialBase * 2^n, at most redialMax, before jitter.
	redialBase = 100 * time.Millisecond
	redialMax  = 5 * time.Second
	// probeMethod is the JSON-RPC method of a liveness probe. The transport
	// replies to it without calling the Receiver.
	probeMethod = "probe"
)
