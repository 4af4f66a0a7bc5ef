package config

import (
	"fmt"
	"strings"
)

// maxErrorLines bounds the faults in the error text, because every node logs
// that text.
const maxErrorLines = 20

// InvalidDocumentError reports the faults that make a document invalid.
type InvalidDocumentError struct {
	Faults []Fault
	// Omitted counts the faults that are not in Faults.
	Omitted int
}

// Error returns the number of faults and one line for each of the first
// maxErrorLines.
func (e *InvalidDocumentError) Error() string {
	total := len(e.Faults) + e.Omitted
	var b strings.Builder
	fmt.Fprintf(&b, "invalid document: %d faults", total)
	for _, f := range e.Faults[:min(len(e.Faults), maxErrorLines)] {
		b.WriteString("\n  ")
		b.WriteString(f.String())
	}
	if total > maxErrorLines {
		fmt.Fprintf(&b, "\n  and %d more", total-maxErrorLines)
	}
	return b.String()
}
