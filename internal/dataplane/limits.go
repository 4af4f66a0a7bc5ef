package dataplane

import "time"

const (
	// defaultCatchUpTimeout is the default of Config.CatchUpLimit.
	defaultCatchUpTimeout = 500 * time.Millisecond
	// maxIdleConnsPerHost bounds kept connections to another node: calls between
	// two nodes rarely overlap more than an upstream has slots.
	maxIdleConnsPerHost = 32
	// idleConnTimeout closes unused connections.
	idleConnTimeout = 60 * time.Second
	// dialTimeout bounds a connection attempt.
	dialTimeout = time.Second
	// maxUpstreamConns is used until a version tells the upstream's limit.
	maxUpstreamConns = 100
	// observationTTL is how long the observations of an upstream outlive its last
	// use; routing weighs none of them for longer than a minute.
	observationTTL = 5 * time.Minute
	// viewRefreshWait and viewWaits bound the wait of a call for a first upstream. A
	// view of the fleet is rebuilt at most every 100 ms.
	viewRefreshWait     = 120 * time.Millisecond
	maxViewRefreshWaits = 2
	// progressInterval is the time between informational responses to another
	// node while its call waits or runs.
	progressInterval = 300 * time.Millisecond
	// peerSilenceTimeout is how long a connection to another node may be silent while
	// it waits. Five intervals leave room for delays between regions and for a
	// busy machine; a longer limit finds dead connections later.
	peerSilenceTimeout = 5 * progressInterval
	// crashAckTimeout bounds the wait for acknowledgements of a crash report; it
	// covers a round trip between regions.
	crashAckTimeout = 200 * time.Millisecond
)
