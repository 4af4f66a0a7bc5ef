package ctl

import (
	"errors"
	"fmt"
	"io"

	"github.com/filbertpier/filbertpier/internal/ctl/files"
	"github.com/filbertpier/filbertpier/internal/settings"
)

// SettingsResult lists the faults in the settings of a node.
type SettingsResult struct {
	Valid  bool             `json:"valid"`
	Faults []settings.Fault `json:"faults"`
}

// CheckSettings checks a settings file as a node does at startup. If there are
// faults, it returns a *settings.InvalidError together with the complete result.
// It returns a *files.Error if the file cannot be read.
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

// Text implements Result: one line for each fault, then their number.
func (r *SettingsResult) Text(w io.Writer) error {
	for _, f := range r.Faults {
		if _, err := fmt.Fprintln(w, "fault  ", f); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d faults\n", len(r.Faults))
	return err
}
