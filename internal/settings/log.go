package settings

// Log configures the level and the sampling of the node's log.
type Log struct {
	// Level is trace, debug, info, warn or error; empty means info.
	Level string `json:"level" validate:"omitempty,oneof=trace debug info warn error"`
	// DecisionsEvery is the sampling interval of routing decisions: one in
	// DecisionsEvery is logged, the others are only counted. 0 and 1 log all.
	DecisionsEvery uint64 `json:"decisionsEvery"`
}
