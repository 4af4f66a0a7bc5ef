package replica

import "time"

const (
	// minWatch is the shortest wait of a watch. A source that stops answering
	// a node is noticed after this time and answerSlack at the latest.
	minWatch = 10 * time.Second
	// gatherTime is the pause after a watch that found changes. Changes that
	// come in quick succession are then read together.
	gatherTime = 400 * time.Millisecond
	// maxWatch is the platform's bound on a watch.
	maxWatch = 30 * time.Second
	// answerSlack is how long after its wait a watch may still be answered.
	answerSlack = 1500 * time.Millisecond
	// listTimeout bounds the listing of all items.
	listTimeout = 5 * time.Second
	// watchShare is the part of the platform's read rate that the watches of
	// all nodes may take together.
	watchShare = 0.2
	// unstableTime is how long after an outage entries may be missing that are
	// about to come back.
	unstableTime = 3 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed read.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// peerInterval is the pause between questions to peers while the platform
	// does not answer.
	peerInterval = 300 * time.Millisecond
	// peerTimeout bounds one question to a peer.
	peerTimeout = time.Second
	// startupGrace is how long an empty node waits for the platform before it
	// asks its peers.
	startupGrace = 300 * time.Millisecond
)
