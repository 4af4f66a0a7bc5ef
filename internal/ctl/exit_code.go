package ctl

import (
	"errors"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/internal/ctl/fleet"
	"github.com/filbertpier/filbertpier/internal/ctl/refusal"
	"github.com/filbertpier/filbertpier/internal/settings"
)

// ExitCode is the exit status of fpctl. The numbers are documented in
// docs/cli.md and do not change.
type ExitCode int

// The exit codes.
const (
	ExitOK ExitCode = 0
	// ExitUsage is also what the command line library uses.
	ExitUsage   ExitCode = 1
	ExitFailure ExitCode = 2
	ExitInvalid ExitCode = 3
	ExitRefused ExitCode = 4
	ExitFleet   ExitCode = 5
)

// ExitCodeOf returns the exit code for an error, or ExitOK for nil.
func ExitCodeOf(err error) ExitCode {
	var (
		invalid   *config.InvalidDocumentError
		unusable  *settings.InvalidError
		refused   *refusal.Error
		signature *manifest.SignatureError
		nodes     *fleet.Error
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &invalid), errors.As(err, &unusable):
		return ExitInvalid
	case errors.As(err, &refused), errors.As(err, &signature):
		return ExitRefused
	case errors.As(err, &nodes):
		return ExitFleet
	default:
		return ExitFailure
	}
}
