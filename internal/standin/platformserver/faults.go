package platformserver

// Faults configures the faults that the stand-in injects.
type Faults struct {
	// Outage makes every read fail with status 503.
	Outage bool `json:"outage"`
	// StaleMs delays when a published value becomes visible, in milliseconds.
	StaleMs int64 `json:"staleMs"`
	// SlowMs delays each response, in milliseconds.
	SlowMs int64 `json:"slowMs"`
	// ListLagMs delays when a change of the VM list becomes visible, in
	// milliseconds.
	ListLagMs int64 `json:"listLagMs"`
}
