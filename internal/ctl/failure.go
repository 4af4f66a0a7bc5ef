package ctl

import (
	"errors"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/ctl/fleet"
	"github.com/filbertpier/filbertpier/internal/ctl/refusal"
)

// Failure is the JSON form of an error.
type Failure struct {
	Error    string   `json:"error"`
	ExitCode ExitCode `json:"exitCode"`
	// Reason is set for refusals.
	Reason string         `json:"reason,omitempty"`
	Faults []config.Fault `json:"faults,omitempty"`
	// Nodes maps nodes to what is wrong with them.
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
	var nodes *fleet.Error
	if errors.As(err, &nodes) {
		f.Nodes = nodes.Failed
	}
	return f
}
