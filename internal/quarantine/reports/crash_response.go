package reports

import "github.com/filbertpier/filbertpier/internal/quarantine"

// crashResponse lists the suspects of a report that had succeeded at the responding
// node since they were last suspect.
type crashResponse struct {
	Succeeded []quarantine.Fingerprint `json:"succeeded,omitempty"`
}
