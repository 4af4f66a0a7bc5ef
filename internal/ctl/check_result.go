package ctl

import (
	"fmt"
	"io"

	"github.com/filbertpier/filbertpier/config"
)

// CheckResult lists the faults and warnings of a document.
type CheckResult struct {
	Valid    bool           `json:"valid"`
	Sections int            `json:"sections"`
	Bytes    int            `json:"bytes"`
	Faults   []config.Fault `json:"faults"`
	// Omitted is the number of further faults that Faults leaves out.
	Omitted  int            `json:"omittedFaults"`
	Warnings []config.Fault `json:"warnings"`
}

// Check checks a document as a whole. If there are faults, it returns a
// *config.InvalidDocumentError together with the complete result.
func Check(sections []config.Section) (*CheckResult, error) {
	report := config.Check(sections)
	r := &CheckResult{Valid: report.Document != nil, Sections: len(sections), Faults: append([]config.Fault{}, report.Faults...),
		Omitted: report.OmittedFaults, Warnings: append([]config.Fault{}, report.Warnings...)}
	for _, s := range sections {
		r.Bytes += len(s.Raw)
	}
	return r, report.Err()
}

// Text implements Result: one line for each fault and warning, then the totals.
func (r *CheckResult) Text(w io.Writer) error {
	for _, f := range r.Faults {
		if _, err := fmt.Fprintln(w, "fault  ", f); err != nil {
			return err
		}
	}
	for _, f := range r.Warnings {
		if _, err := fmt.Fprintln(w, "warning", f); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d sections, %d bytes, %d faults, %d warnings\n", r.Sections, r.Bytes, len(r.Faults)+r.Omitted, len(r.Warnings))
	return err
}
