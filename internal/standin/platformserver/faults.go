package platformserver

// Faults are the switches of the stand-in.
type Faults struct {
	// Outage makes every call fail with status 503.
	Outage bool `json:"outage"`
	// StaleMs makes values appear that many milliseconds after publication.
	StaleMs int64 `json:"staleMs"`
	// SlowMs delays each answer.
	SlowMs int64 `json:"slowMs"`
	// ListLagMs makes VM list changes appear that many milliseconds late.
	ListLagMs int64 `json:"listLagMs"`
}
