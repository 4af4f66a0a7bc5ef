package settings

// Log configures the log.
type Log struct {
	// Level is trace, debug, info, warn or error; empty means info.
	Level string `json:"level" validate:"omitempty,oneof=trace debug info warn error"`
	// DecisionsEvery writes one in so many routing decision lines; the rest is
	// counted. 0 and 1 write all.
	DecisionsEvery uint64 `json:"decisionsEvery"`
}
