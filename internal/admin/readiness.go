package admin

// Readiness reports whether a node should receive calls.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reasons is empty if the node is ready.
	Reasons []string `json:"reasons"`
}

// Reasons why a node is not ready.
const (
	ReasonNotJoined = "the node has not joined the fleet, or was paused and is catching up"
	ReasonNoVersion = "no version is in force"
	ReasonLeaving   = "the node is leaving"
)
