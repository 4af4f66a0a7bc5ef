package dataplane

import "time"

const (
	// defaultCatchUp is the default of Config.CatchUpLimit.
	defaultCatchUp = 500 * time.Millisecond
	// maxIdlePerHost bounds kept connections to another node: calls between
	// two nodes rarely overlap more than an upstream has slots.
	maxIdlePerHost = 32
	// idleTimeout closes unused connections.
	idleTimeout = 60 * time.Second
	// dialTimeout bounds a connection attempt.
	dialTimeout = time.Second
	// defaultConnections is used until a version tells the upstream's limit.
	defaultConnections = 100
	// beliefMemory is how long the observations of an upstream outlive its last
	// use; routing weighs none of them for longer than a minute.
	beliefMemory = 5 * time.Minute
	// viewWait and viewWaits bound the wait of a call for a first upstream. A
	// view of the fleet is rebuilt at most every 100 ms.
	viewWait  = 120 * time.Millisecond
	viewWaits = 2
	// progressInterval is the time between informational responses to another
	// node while its call waits or runs.
	progressInterval = 300 * time.Millisecond
	// silenceLimit is how long a connection to another node may be silent while
	// it waits. Five intervals leave room for delays between regions and for a
	// busy machine; a longer limit finds dead connections later.
	silenceLimit = 5 * progressInterval
	// reportLimit bounds the wait for acknowledgements of a crash report; it
	// covers a round trip between regions.
	reportLimit = 200 * time.Millisecond
)
