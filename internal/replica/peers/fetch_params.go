package peers

// fetchMethod is the JSON-RPC method that returns the changes after a revision
// as a wirePage.
const fetchMethod = "replica.fetch"

// fetchParams are the parameters of fetchMethod.
type fetchParams struct {
	AfterRevision uint64 `json:"after"`
	// WaitMs is how long to wait for a change, in milliseconds; 0 returns at
	// once.
	WaitMs int64 `json:"waitMs,omitempty"`
	// Confirmation is that of the last response to the node.
	Confirmation uint64 `json:"confirmation,omitempty"`
}
