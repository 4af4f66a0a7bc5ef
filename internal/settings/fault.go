package settings

import "fmt"

// Fault describes one invalid setting.
type Fault struct {
	// Field is the JSON pointer of the setting.
	Field string `json:"field"`
	// Line is the line number in the file, from 1; 0 if it is unknown. For a
	// missing setting it is the line of the enclosing object.
	Line   int    `json:"line"`
	Rule   Rule   `json:"rule"`
	Detail string `json:"detail"`
	// Remedy tells operators how to correct the setting. It is empty for faults
	// that Sidecar.Validate reports.
	Remedy string `json:"remedy"`
}

// String formats all fields of the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("line %d: %s: %s: %s; %s", f.Line, f.Field, f.Rule, f.Detail, f.Remedy)
}
