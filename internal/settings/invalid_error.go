package settings

import (
	"fmt"
	"strings"
)

// InvalidError lists all faults of invalid settings.
type InvalidError struct {
	Faults []Fault
}

// Error returns a summary line and one line per fault.
func (e *InvalidError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "invalid settings: %d faults", len(e.Faults))
	for _, f := range e.Faults {
		b.WriteString("\n  ")
		b.WriteString(f.String())
	}
	return b.String()
}
