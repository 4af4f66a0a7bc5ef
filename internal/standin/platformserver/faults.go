package platformserver

// Faults configures the faults that the stand-in injects.
type Faults struct {
	// Outage makes every read fail with status 503.
	Outage bool `json:"outage"`
	// StaleMs is the time after which a published value becomes visible, in
	// milliseconds.
	StaleMs int64 `json:"staleMs"`
	// SlowMs is the delay before each read is served, in milliseconds.
	SlowMs int64 `json:"slowMs"`
	// ListLagMs is the time after which a change of the VM list becomes visible,
	// in milliseconds.
	ListLagMs int64 `json:"listLagMs"`
}
