package state

const (
	// JoinPeers is the number of peers that must report their versions to a
	// joining node.
	JoinPeers = 3
	// maxRefusedVersions bounds the refused versions that are kept.
	maxRefusedVersions = 64
	// maxSuspicionsPerShard is the number of the node's own suspicions above
	// which a shard drops all of them.
	maxSuspicionsPerShard = 64
)
