package config

import (
	"fmt"
	"strings"
)

// InvalidDocumentError lists every fault of a document.
type InvalidDocumentError struct {
	Faults []Fault
}

// Error returns one line per fault.
func (e *InvalidDocumentError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "invalid document: %d faults", len(e.Faults))
	for _, f := range e.Faults {
		b.WriteString("\n  ")
		b.WriteString(f.String())
	}
	return b.String()
}
