package config

import "fmt"

// Fault is one violation of a rule, or one warning, with its position.
type Fault struct {
	Section string `json:"section"`
	// Line is the line in the section's text, counted from 1. It is 0 for faults
	// of a whole section or, without Section, of the whole document, and for all
	// faults that CompileBody reports.
	Line   int    `json:"line"`
	Rule   string `json:"rule"`
	Detail string `json:"detail"`
}

// String formats the fault as section:line: rule: detail.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.Section, f.Line, f.Rule, f.Detail)
}
