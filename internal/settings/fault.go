package settings

import "fmt"

// Fault describes one invalid setting.
type Fault struct {
	// Field is the JSON pointer of the setting.
	Field string `json:"field"`
	// Line is the line number in the file, from 1. For a missing setting it is
	// the line of the enclosing object.
	Line   int    `json:"line"`
	Rule   Rule   `json:"rule"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy"`
}

// String formats the fault with its line, field, rule and remedy on one line.
func (f Fault) String() string {
	return fmt.Sprintf("line %d: %s: %s: %s; %s", f.Line, f.Field, f.Rule, f.Detail, f.Remedy)
}
