package intake

// Cause says why a client was turned away. It is a label of metrics.
type Cause string

// The causes.
const (
	// CauseMemory: there was no memory for a request.
	CauseMemory Cause = "memory"
	// CauseConnections: there were too many connections for a new one.
	CauseConnections Cause = "connections"
	// CauseStalled: the client neither sent nor read for too long.
	CauseStalled Cause = "stalled"
	// CauseEvicted: a stopped or idle client had to make room for another one.
	CauseEvicted Cause = "evicted"
)
