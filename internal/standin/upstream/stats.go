package upstream

// Stats counts what an upstream did.
type Stats struct {
	Completed        int64 `json:"ran"`
	MaxRunning int64 `json:"maxRunning"`
	// OverSlots counts calls that came while all slots were taken.
	OverSlots int64 `json:"overSlots"`
	Cancelled int64 `json:"cancelled"`
	// KeyRuns counts the runs of calls with an idempotency key, by key.
	KeyRuns map[string]int64 `json:"keyRuns,omitempty"`
}
