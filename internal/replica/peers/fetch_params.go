package peers

// fetchMethod asks for the changes after a revision; the answer is a
// replica.Page.
const fetchMethod = "replica.fetch"

// fetchParams are the parameters of fetchMethod.
type fetchParams struct {
	After uint64 `json:"after"`
	// WaitMs is how long to wait for a change, in milliseconds.
	WaitMs int64 `json:"waitMs,omitempty"`
}
