package peer

import "time"

const (
	// queueLength bounds the messages that wait for one connection. Beyond it
	// messages are dropped; heartbeats and anti-entropy make up for them.
	queueLength = 256
	// dialTimeout bounds a connection attempt; a connection takes about 1 ms
	// within a region and one round trip of 60 ms across regions.
	dialTimeout = time.Second
	// silenceLimit is how long a probe may stay unanswered before the
	// connection counts as silent: three heartbeat intervals.
	silenceLimit = 3 * time.Second
	// idleLimit closes connections to peers that are no longer talked to.
	idleLimit = 30 * time.Second
	// incomingLimit closes incoming connections that bring nothing; the
	// dialling side closes its own after idleLimit.
	incomingLimit = 2 * idleLimit
	// maxMessageBytes bounds an incoming message: a join response with 7,300
	// records of about 250 bytes has 1.8 MB, a whole document a few more.
	maxMessageBytes = 16 << 20
	// streamWindow is the window of compressed streams in bytes. It holds some
	// hundred heartbeats; larger ones cost memory for each connection.
	streamWindow = 64 << 10
	// steadyAfter is how long a connection must last to count as established.
	// A peer that accepts and closes at once would otherwise be dialled again
	// for each message.
	steadyAfter = 2 * time.Second
	// redialBase and redialMax bound the jittered backoff after a failed dial.
	redialBase = 100 * time.Millisecond
	redialMax  = 5 * time.Second
	// probeMethod is answered by the transport itself.
	probeMethod = "probe"
)
