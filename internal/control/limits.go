package control

import "time"

const (
	// monitoredSuccessors is the number of ring successors that a node monitors.
	monitoredSuccessors = 3
	// maxMissedIntervals is the number of silent heartbeat intervals after which
	// a watched member is suspected.
	maxMissedIntervals = 2
	// zoneSilenceTimeout and zoneSilenceFar are how long nothing is heard from a zone
	// of the region, or of another region, before it is suspect as a whole.
	// Gateways reach each zone of another region about every 8 s.
	zoneSilenceTimeout            = 10 * time.Second
	crossRegionZoneSilenceTimeout = 30 * time.Second
	// pauseIntervals is the number of heartbeat intervals between two ticks
	// after which the node assumes that it was paused itself.
	pauseIntervals = 3
	// readerStartIntervals is the number of heartbeat intervals after the start in
	// which a node learns of its peers before it may act as a reader.
	readerStartIntervals = 3
	// antiEntropyTicks is the number of ticks between comparisons of the
	// member table with a peer in the same region.
	antiEntropyTicks = 10
	// crossRegionHeartbeatTicks is the number of ticks between heartbeats to other regions.
	crossRegionHeartbeatTicks = 2
	// crossRegionAntiEntropyTicks is the number of ticks between comparisons of
	// the member table with a peer in another region.
	crossRegionAntiEntropyTicks = 10
	// maxJoinSeeds is the number of seeds that a starting node asks at a time. With
	// two, a mass restart left more nodes that took themselves for readers.
	maxJoinSeeds = 3
	// updateBatchDelay coalesces member updates.
	updateBatchDelay = 50 * time.Millisecond
	// maxUpdatesPerMessage bounds the records of one message, about 40 KB.
	maxUpdatesPerMessage = 256

	// transferRetry is the time after which a pull in the same region is sent
	// to another source.
	transferRetry = 300 * time.Millisecond
	// crossRegionTransferRetry is the same across regions.
	crossRegionTransferRetry = time.Second
	// secondGatewayDelay gives the first gateway of a region the time to
	// fetch the region's one copy.
	secondGatewayDelay = 300 * time.Millisecond
	// nonGatewayDelay gives both gateways that time before another node pulls
	// across regions; up to the same time is added at random.
	nonGatewayDelay = time.Second
	// pendingVersionRetry is the time between later attempts to complete a version
	// whose manifest came from the platform. It is not abandoned: its sections
	// may appear long after it, and a watch reports the manifest only once.
	pendingVersionRetry = 2 * time.Second
	// maxCallerTransfers bounds the transfers of versions that only calls
	// name: callers may name versions that do not exist.
	maxCallerTransfers = 4
	// maxSectionReads bounds the unanswered section reads of one transfer, so
	// that the first version of 360 services does not exceed the platform's
	// rate.
	maxSectionReads = 64
	// sectionReadRetry is the time after which a section is read again.
	sectionReadRetry = time.Second
	// maxTransferAttempts bounds one transfer; heartbeats start a new one.
	maxTransferAttempts = 20
	// transferAttemptsBeforePlatform is the number of failed attempts after
	// which a node asks the platform for the manifest in its random turn.
	transferAttemptsBeforePlatform = 5
	// maxTransferSources bounds the sources kept for a transfer.
	maxTransferSources = 8

	// manifestWatchWait is how long a reader's watch waits. It is shorter than
	// reader.StaleAfter, so that a quiet platform does not look unread.
	manifestWatchWait = 2 * time.Second
	// crossRegionWatchDuration is how long the readers of another region watch the
	// platform after no node seemed to read it. Their own reads hide whether
	// the platform's region reads again, so the choice must expire.
	crossRegionWatchDuration = time.Minute
	// vmListInterval is the time between reads of the VM list in the
	// platform's region.
	vmListInterval = 5 * time.Second
	// crossRegionVMListInterval is the same in other regions: the list is large, and
	// member updates bring its changes.
	crossRegionVMListInterval = 60 * time.Second
	// joinVMListWindow spreads the reads of the VM list when all nodes restart
	// at once and no seed answers: 7,300 nodes make 365 reads a second.
	joinVMListWindow = 20 * time.Second
	// platformBackoff is the mean delay after a failed platform read.
	platformBackoff = time.Second
)
