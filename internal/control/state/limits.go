package state

const (
	// JoinPeers is the number of peers whose version an empty node compares.
	JoinPeers = 3
	// maxRefused bounds the remembered refused versions.
	maxRefused = 64
	// maxSuspectsKept bounds the remembered own suspicions of one shard.
	maxSuspectsKept = 64
)
