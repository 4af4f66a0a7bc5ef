package config

import "fmt"

// Fault is one rule that a document breaks.
type Fault struct {
	Section string `json:"section"`
	// Line counts from 1 in the section's text; 0 means the whole section.
	Line   int    `json:"line"`
	Rule   string `json:"rule"`
	Detail string `json:"detail"`
}

// String formats the fault as section:line: rule: detail.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.Section, f.Line, f.Rule, f.Detail)
}
