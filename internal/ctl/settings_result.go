package ctl

import (
	"errors"
	"fmt"
	"io"

	"github.com/filbertpier/filbertpier/internal/ctl/files"
	"github.com/filbertpier/filbertpier/internal/settings"
)

// SettingsResult is the outcome of checking the settings of a node.
type SettingsResult struct {
	Valid  bool             `json:"valid"`
	Faults []settings.Fault `json:"faults"`
}

// CheckSettings checks a settings file as a starting node does. The error is a
// *settings.InvalidError if there are faults; the result is complete then too.
func CheckSettings(path string) (*SettingsResult, error) {
	raw, err := files.Read(path)
	if err != nil {
		return nil, err
	}
	_, err = settings.Parse(raw)
	r := &SettingsResult{Valid: err == nil, Faults: []settings.Fault{}}
	var invalid *settings.InvalidError
	if errors.As(err, &invalid) {
		r.Faults = invalid.Faults
	}
	return r, err
}

// Text implements Result.
func (r *SettingsResult) Text(w io.Writer) error {
	for _, f := range r.Faults {
		if _, err := fmt.Fprintln(w, "fault  ", f); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d faults\n", len(r.Faults))
	return err
}
