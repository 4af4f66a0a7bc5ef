package mesh

// hop is the next process to which a node sends a call. It is a label of metrics.
type hop string

const (
	hopNode     hop = "node"
	hopUpstream hop = "upstream"
)
