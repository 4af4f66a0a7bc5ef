package control

import "time"

const (
	// monitoredSuccessors is the number of ring successors that a node
	// monitors.
	monitoredSuccessors = 3
	// maxMissedIntervals is how many heartbeat intervals a monitored member may
	// be silent before it is suspected. Each counts 1.5 times
	// HeartbeatInterval, the longest that jitter makes it.
	maxMissedIntervals = 2
	// zoneSilenceTimeout and crossRegionZoneSilenceTimeout are the times
	// without contact after which a zone of the same or of another region is
	// suspect as a whole. Gateways reach each zone of another region about
	// every 8 s with four zones per region.
	zoneSilenceTimeout            = 10 * time.Second
	crossRegionZoneSilenceTimeout = 30 * time.Second
	// maxTickGapIntervals is the number of heartbeat intervals without a tick
	// after which a node assumes that it was paused itself.
	maxTickGapIntervals = 3
	// readerStartIntervals is the number of heartbeat intervals after the start
	// in which a node collects members before it may act as a reader.
	readerStartIntervals = 3
	// antiEntropyTicks is the number of ticks between comparisons of the member
	// table with a peer in the same region, and between removals of expired
	// records.
	antiEntropyTicks = 10
	// crossRegionHeartbeatTicks is the number of ticks between heartbeats to
	// other regions.
	crossRegionHeartbeatTicks = 2
	// crossRegionAntiEntropyTicks is the number of ticks between comparisons of
	// the member table with a peer in another region. It must be a multiple of
	// crossRegionHeartbeatTicks.
	crossRegionAntiEntropyTicks = 10
	// maxJoinSeeds is the number of seeds that a starting node asks at a time.
	// With two, a node knows too few members after a mass restart, and more
	// nodes consider themselves readers.
	maxJoinSeeds = 3
	// updateBatchDelay is how long member updates are collected before they are
	// sent together.
	updateBatchDelay = 50 * time.Millisecond
	// maxUpdatesPerMessage bounds the member records of a message to about 40
	// KB.
	maxUpdatesPerMessage = 256

	// transferRetry is the time after which a pull in the same region is sent
	// to another source.
	transferRetry = 300 * time.Millisecond
	// crossRegionTransferRetry is the corresponding time for a pull from
	// another region. In the platform's region it is also the time until the
	// first retry of unanswered section reads.
	crossRegionTransferRetry = time.Second
	// secondGatewayDelay is how long the second gateway of a region waits for
	// the first to pull a version, so that normally only one copy crosses into
	// the region. Outside the platform's region, the first gateway waits as
	// long for peers before it reads sections from the platform.
	secondGatewayDelay = 300 * time.Millisecond
	// nonGatewayDelay is how long any other node waits for both gateways before
	// it pulls across regions; a quarter to three quarters of it is added at
	// random. Outside the platform's region, all nodes but the first gateway
	// wait for peers for exactly this time before they read sections from the
	// platform.
	nonGatewayDelay = time.Second
	// pendingVersionRetry is the time between attempts, after the first
	// maxTransferAttempts, to complete a version whose manifest came from the
	// platform. Such a version is not abandoned: its sections may appear long
	// after the manifest, and a watch reports the manifest only once.
	pendingVersionRetry = 2 * time.Second
	// maxCallerTransfers bounds the transfers of versions that only calls
	// require, since callers may name versions that do not exist.
	maxCallerTransfers = 4
	// maxSectionReads bounds the unanswered section reads of one transfer, so
	// that the first version of 360 services does not exceed the platform's
	// rate limit.
	maxSectionReads = 64
	// sectionReadRetry is the time after which an unanswered section read is
	// repeated.
	sectionReadRetry = time.Second
	// maxTransferAttempts bounds the attempts of one transfer; a later
	// heartbeat starts a new one. A transfer whose manifest came from the
	// platform continues at intervals of pendingVersionRetry.
	maxTransferAttempts = 20
	// fallbackAttempt is the attempt at whose start a node arms the fallback
	// read of the manifest from the platform, if a peer has offered the version.
	fallbackAttempt = 5
	// maxTransferSources bounds the sources kept for a transfer.
	maxTransferSources = 8

	// manifestWatchWait is how long a reader's watch of the manifest waits for
	// a change. It is shorter than reader.StaleAfter, so that a read is recorded
	// in time even if the manifest does not change.
	manifestWatchWait = 2 * time.Second
	// crossRegionWatchDuration is how long readers in other regions watch the
	// platform after the last known read became stale. Their own reads count as
	// fresh reads and hide whether the readers in the platform's region have
	// resumed, so the watch must expire.
	crossRegionWatchDuration = time.Minute
	// vmListInterval is the time between reads of the VM list in the platform's
	// region.
	vmListInterval = 5 * time.Second
	// crossRegionVMListInterval is the corresponding time in other regions. It
	// is longer because the list is large and member updates report its
	// changes.
	crossRegionVMListInterval = 60 * time.Second
	// isolatedReadWindow is the time over which the platform reads of nodes that
	// know no peer are spread, since all nodes may restart at once: 7,300 nodes
	// make 365 reads of the VM list a second.
	isolatedReadWindow = 20 * time.Second
	// platformBackoff is the mean delay after a failed platform read.
	platformBackoff = time.Second
)
