package reports

import "github.com/filbertpier/filbertpier/internal/quarantine"

// quarantineEntry is the wire form of a quarantine.Quarantined.
type quarantineEntry struct {
	Fingerprint quarantine.Fingerprint `json:"fingerprint"`
	// RemainingMs is how long the fingerprint stays quarantined, in milliseconds.
	RemainingMs int64 `json:"remainingMs"`
}
