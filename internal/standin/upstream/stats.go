package upstream

// Stats counts the calls of a stand-in upstream.
type Stats struct {
	// Completed counts calls that ran to the end.
	Completed int64 `json:"ran"`
	// MaxRunning is the largest number of calls that ran at once.
	MaxRunning int64 `json:"maxRunning"`
	// OverSlots counts calls that started while all slots were in use.
	OverSlots int64 `json:"overSlots"`
	// Cancelled counts calls that the client cancelled while they ran.
	Cancelled int64 `json:"cancelled"`
	// KeyRuns counts the runs of calls with an idempotency key, by key.
	KeyRuns map[string]int64 `json:"keyRuns,omitempty"`
}
