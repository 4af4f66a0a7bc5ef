package replica

import "time"

const (
	// watchWait is the longest time between two reads of the platform that confirm
	// the copy of a node on which other nodes rely.
	watchWait = time.Second
	// freshTime is how long after the last confirmation the copy of a node that
	// reads the platform counts as up to date.
	freshTime = watchWait + watchGrace
	// depthMargin is added to freshTime for each level of the tree, so that a parent
	// that loses its own parent can confirm its copy at the platform before its
	// children do. Five levels stay within the 2.5 s in which a change must be in
	// force.
	depthMargin = 150 * time.Millisecond
	// fallbackWatchWait replaces watchWait at a node that has a parent and no
	// children: after an outage, all nodes of a fleet may watch the platform at once.
	fallbackWatchWait = 6 * time.Second
	// batchDelay is the pause after a watch that returned new changes, so that
	// changes in quick succession are read together.
	batchDelay = 400 * time.Millisecond
	// watchGrace is how long after the wait of a watch its response may still
	// arrive.
	watchGrace = 600 * time.Millisecond
	// followWait is the long-poll time at the parent node, which responds to each
	// confirmation before that, and followGrace how long after it the response may
	// still arrive. A node whose parent is paused or dead reads the platform after
	// both have passed, or earlier if its copy no longer counts as up to date.
	followWait  = watchWait + 100*time.Millisecond
	followGrace = 400 * time.Millisecond
	// directReadTime is how long a node reads the platform itself after its
	// parent failed.
	directReadTime = 3 * time.Second
	// listTimeout bounds the listing of all items.
	listTimeout = 5 * time.Second
	// relistTimeout replaces listTimeout at a connected node.
	relistTimeout = freshTime
	// unstableAfterOutage is how long after an outage the platform may lack
	// entries that are about to be restored.
	unstableAfterOutage = 3 * time.Second
	// unstableAfterReturn is the same after the platform's return from an older copy.
	// It is as short as the time within which lost entries are written again: a node may
	// learn of the return late, and later removals are notices that an upstream leaves.
	unstableAfterReturn = 2 * time.Second
	// minBackoff and maxBackoff bound the backoff, before jitter, after a failed
	// read.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// peerInterval is the mean pause between fetches from peers while the
	// platform does not respond.
	peerInterval = 300 * time.Millisecond
	// peerTimeout bounds one fetch from a peer.
	peerTimeout = time.Second
	// peerStartDelay is how long a node waits for the platform after its start
	// before it fetches from peers.
	peerStartDelay = 300 * time.Millisecond
)
