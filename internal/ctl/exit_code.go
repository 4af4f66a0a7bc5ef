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
	// ExitOK means success, possibly with warnings.
	ExitOK ExitCode = 0
	// ExitUsage equals the exit code of the command line library for wrong
	// arguments.
	ExitUsage ExitCode = 1
	// ExitFailure is any error without a code of its own, such as a file error.
	ExitFailure ExitCode = 2
	// ExitInvalid means that a document or a settings file has faults.
	ExitInvalid ExitCode = 3
	// ExitRefused means that a rule forbids the operation or a signature is invalid.
	ExitRefused ExitCode = 4
	// ExitFleet means that nodes failed to respond or are not in the wanted state.
	ExitFleet ExitCode = 5
)

// ExitCodeOf returns the exit code for an error, or ExitOK for nil.
func ExitCodeOf(err error) ExitCode {
	var (
		invalidDocument *config.InvalidDocumentError
		invalidSettings *settings.InvalidError
		refused         *refusal.Error
		signature       *manifest.SignatureError
		fleetErr        *fleet.Error
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &invalidDocument), errors.As(err, &invalidSettings):
		return ExitInvalid
	case errors.As(err, &refused), errors.As(err, &signature):
		return ExitRefused
	case errors.As(err, &fleetErr):
		return ExitFleet
	default:
		return ExitFailure
	}
}
