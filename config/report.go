package config

import (
	"cmp"
	"slices"
)

// Report is the outcome of checking a document.
type Report struct {
	// Document is nil if there are faults.
	Document *Document
	// Faults and Warnings are sorted by section and line; each holds at most
	// MaxFaults entries.
	Faults   []Fault
	Warnings []Fault
	// OmittedFaults counts the faults that are not in Faults.
	OmittedFaults int
}

// Err returns an *InvalidDocumentError, or nil if the document is valid.
func (r *Report) Err() error {
	if len(r.Faults) == 0 {
		return nil
	}
	return &InvalidDocumentError{Faults: r.Faults, Omitted: r.OmittedFaults}
}

func (r *Report) sort() {
	compareFaults := func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Section, b.Section), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Detail, b.Detail))
	}
	slices.SortFunc(r.Faults, compareFaults)
	slices.SortFunc(r.Warnings, compareFaults)
}
