package dataplane

import "time"

const (
	// defaultCatchUpTimeout is the default of Config.CatchUpTimeout.
	defaultCatchUpTimeout = 500 * time.Millisecond
	// maxIdleConnsPerHost limits the idle connections kept to one node. Two
	// nodes rarely have more calls in flight between them than an upstream has
	// slots.
	maxIdleConnsPerHost = 32
	// idleConnTimeout is how long an unused connection stays open.
	idleConnTimeout = 60 * time.Second
	// dialTimeout bounds one connection attempt.
	dialTimeout = time.Second
	// maxUpstreamConns limits the connections to the upstream. The limit that
	// the configuration sets for the service is enforced by admission.
	maxUpstreamConns = 100
	// observationTTL is how long the observations of an upstream are kept after
	// its last use. Routing ignores observations older than a minute.
	observationTTL = 5 * time.Minute
	// viewRefreshWait and maxViewRefreshWaits bound how long a call waits for a
	// newer view of the fleet, which is rebuilt at most every 100 ms.
	viewRefreshWait     = 120 * time.Millisecond
	maxViewRefreshWaits = 2
	// progressInterval is the time between informational responses to another
	// node while its call waits or runs.
	progressInterval = 300 * time.Millisecond
	// peerSilenceTimeout is how long a connection to another node may carry no
	// response, final or informational, before the call fails. Five intervals
	// allow for delays between regions and a busy machine; a longer timeout
	// detects dead connections later.
	peerSilenceTimeout = 5 * progressInterval
	// crashAckTimeout bounds the wait for acknowledgements of a crash report; it
	// covers a round trip between regions.
	crashAckTimeout = 200 * time.Millisecond
)
