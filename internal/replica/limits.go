package replica

import "time"

const (
	// watchWait is the wait of a watch. A platform that stops answering a node
	// is noticed after this time and answerSlack at the latest.
	watchWait = 5 * time.Second
	// gatherTime is the pause after a watch that found changes. Changes that
	// come in quick succession are then read together.
	gatherTime = 400 * time.Millisecond
	// answerSlack is how long after its wait a watch may still be answered.
	answerSlack = time.Second
	// followWait is the wait at another node, and followSlack how long after it
	// the answer may come: a node whose parent is paused or dead reads the
	// platform after both.
	followWait  = 800 * time.Millisecond
	followSlack = 400 * time.Millisecond
	// directTime is how long a node reads the platform itself after its parent
	// failed.
	directTime = 3 * time.Second
	// listTimeout bounds the listing of all items.
	listTimeout = 5 * time.Second
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
