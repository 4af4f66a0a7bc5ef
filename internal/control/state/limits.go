package state

const (
	// JoinPeers is the number of peers that must report their versions to a
	// joining node.
	JoinPeers = 3
	// maxRefusedVersions bounds the refused versions that are kept.
	maxRefusedVersions = 64
	// maxSuspicionsPerShard bounds the node's own suspicions kept in one shard.
	maxSuspicionsPerShard = 64
)
