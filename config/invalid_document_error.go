package config

import (
	"fmt"
	"strings"
)

// maxErrorLines bounds the faults in the text of an error: the text goes into
// one log line on every node.
const maxErrorLines = 20

// InvalidDocumentError lists the faults of a document.
type InvalidDocumentError struct {
	Faults []Fault
	// Omitted counts the faults beyond the bound.
	Omitted int
}

// Error returns one line for each of the first faults.
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
