package control

import "time"

const (
	// monitoredSuccessors is the number of ring successors that a node
	// monitors.
	monitoredSuccessors = 3
	// maxMissedIntervals is the number of heartbeat intervals, at their longest
	// with jitter, without a message after which a monitored member is
	// suspected.
	maxMissedIntervals = 2
	// zoneSilenceTimeout and crossRegionZoneSilenceTimeout are the times
	// without contact after which a zone of the same or of another region is
	// suspect as a whole. Gateways reach each zone of another region about
	// every 8 s.
	zoneSilenceTimeout            = 10 * time.Second
	crossRegionZoneSilenceTimeout = 30 * time.Second
	// pauseIntervals is the number of heartbeat intervals without a tick after
	// which a node assumes that it was paused itself.
	pauseIntervals = 3
	// readerStartIntervals is the number of heartbeat intervals after the start
	// in which a node collects members before it may act as a reader.
	readerStartIntervals = 3
	// antiEntropyTicks is the number of ticks between comparisons of the member
	// table with a peer in the same region.
	antiEntropyTicks = 10
	// crossRegionHeartbeatTicks is the number of ticks between heartbeats to
	// other regions.
	crossRegionHeartbeatTicks = 2
	// crossRegionAntiEntropyTicks is the number of ticks between comparisons of
	// the member table with a peer in another region.
	crossRegionAntiEntropyTicks = 10
	// maxJoinSeeds is the number of seeds that a starting node asks at a time.
	// With two, more nodes considered themselves readers after a mass restart.
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
	// another region.
	crossRegionTransferRetry = time.Second
	// secondGatewayDelay is how long the second gateway of a region waits for
	// the first to fetch the region's only copy from another region.
	secondGatewayDelay = 300 * time.Millisecond
	// nonGatewayDelay is how long any other node waits for both gateways before
	// it pulls across regions; up to three quarters of it is added at random.
	nonGatewayDelay = time.Second
	// pendingVersionRetry is the time between later attempts to complete a
	// version whose manifest came from the platform. Such a version is not
	// abandoned: its sections may appear long after the manifest, and a watch
	// reports the manifest only once.
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
	// heartbeat starts a new one.
	maxTransferAttempts = 20
	// transferAttemptsBeforePlatform is the number of failed attempts after
	// which a node arms the fallback read of the manifest from the platform.
	transferAttemptsBeforePlatform = 5
	// maxTransferSources bounds the sources kept for a transfer.
	maxTransferSources = 8

	// manifestWatchWait is how long a reader's watch of the manifest waits for
	// a change. It is shorter than reader.StaleAfter, so that a platform
	// without changes does not seem unread.
	manifestWatchWait = 2 * time.Second
	// crossRegionWatchDuration is how long the readers of other regions watch
	// the platform once its reads have become stale. Their own reads hide
	// whether the platform's region reads again, so the watch must expire.
	crossRegionWatchDuration = time.Minute
	// vmListInterval is the time between reads of the VM list in the platform's
	// region.
	vmListInterval = 5 * time.Second
	// crossRegionVMListInterval is the corresponding time in other regions. It
	// is longer because the list is large and member updates report its
	// changes.
	crossRegionVMListInterval = 60 * time.Second
	// joinVMListWindow spreads the reads of the VM list over time when all
	// nodes restart at once and no seed answers: 7,300 nodes make 365 reads a
	// second.
	joinVMListWindow = 20 * time.Second
	// platformBackoff is the mean delay after a failed platform read.
	platformBackoff = time.Second
)
