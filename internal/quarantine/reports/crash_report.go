package reports

import "github.com/filbertpier/filbertpier/internal/quarantine"

// crashReport lists the requests that ran when an upstream crashed.
type crashReport struct {
	Suspects []quarantine.Fingerprint `json:"suspects"`
}
