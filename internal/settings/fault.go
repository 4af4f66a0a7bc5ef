package settings

import "fmt"

// Fault is one mistake in settings.
type Fault struct {
	// Field is the JSON pointer of the setting.
	Field string `json:"field"`
	// Line counts from 1 in the text; for a missing setting it is the line of
	// the enclosing object.
	Line   int    `json:"line"`
	Rule   Rule   `json:"rule"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy"`
}

// String returns the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("line %d: %s: %s: %s; %s", f.Line, f.Field, f.Rule, f.Detail, f.Remedy)
}
