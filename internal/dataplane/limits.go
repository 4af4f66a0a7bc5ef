package dataplane

import "time"

const (
	// defaultCatchUpTimeout is how long a call waits for the configuration version
	// that it requires if Config.CatchUpTimeout is zero.
	defaultCatchUpTimeout = 500 * time.Millisecond
	// maxIdleConnsPerHost limits the idle connections kept to one node or to the
	// upstream. The calls in flight from one node to another rarely exceed the
	// slots of the other's upstream.
	maxIdleConnsPerHost = 32
	// idleConnTimeout is how long an unused connection stays open.
	idleConnTimeout = 60 * time.Second
	// dialTimeout bounds one connection attempt.
	dialTimeout = time.Second
	// maxUpstreamConns limits the connections to the upstream. The limit that
	// the configuration sets for the service is enforced by admission.
	maxUpstreamConns = 100
	// observationTTL is the least time that the observations of an upstream are
	// kept after it was last considered or called; expiry runs at most once per
	// observationTTL. Routing ignores observations older than a minute.
	observationTTL = 5 * time.Minute
	// viewRefreshWait and maxViewRefreshWaits bound how long a call waits for newer
	// membership: for the view of the fleet, which is rebuilt at most every 100 ms,
	// or for the member record of a key's owner.
	viewRefreshWait     = 120 * time.Millisecond
	maxViewRefreshWaits = 2
	// progressInterval is the time between informational responses to another
	// node while its call waits or runs.
	progressInterval = 300 * time.Millisecond
	// peerSilenceTimeout is how long a call waits on a connection to another node
	// for the next informational response or the final response header before it
	// fails. Five intervals allow for delays between regions and a busy machine; a
	// longer timeout detects dead connections later.
	peerSilenceTimeout = 5 * progressInterval
	// maxResponseHeaderBytes bounds the head of a response together with its interim
	// responses. A faulty upstream may send bytes without end.
	maxResponseHeaderBytes = 64 << 10
)
