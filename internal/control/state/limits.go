package state

const (
	// JoinPeers is the number of peers whose version an empty node compares.
	JoinPeers = 3
	// maxRefusedVersions bounds the remembered refused versions.
	maxRefusedVersions = 64
	// maxSuspicionsPerShard bounds the remembered own suspicions of one shard.
	maxSuspicionsPerShard = 64
)
