package ctl

import (
	"errors"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/ctl/fleet"
	"github.com/filbertpier/filbertpier/internal/ctl/refusal"
)

// Failure is the JSON form of an error, written to stderr.
type Failure struct {
	Error    string   `json:"error"`
	ExitCode ExitCode `json:"exitCode"`
	// Reason is set if the error is a *refusal.Error.
	Reason string         `json:"reason,omitempty"`
	Faults []config.Fault `json:"faults,omitempty"`
	// Nodes maps the URL of each failed node to the cause.
	Nodes map[string]string `json:"nodes,omitempty"`
}

func failureOf(err error, code ExitCode) Failure {
	f := Failure{Error: err.Error(), ExitCode: code}
	var invalid *config.InvalidDocumentError
	if errors.As(err, &invalid) {
		f.Faults = invalid.Faults
	}
	var refused *refusal.Error
	if errors.As(err, &refused) {
		f.Reason = refused.Reason
	}
	var fleetErr *fleet.Error
	if errors.As(err, &fleetErr) {
		f.Nodes = fleetErr.Failed
	}
	return f
}
