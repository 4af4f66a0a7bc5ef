package once

// Result is the final state of an execution.
type Result struct {
	// State is StateDone, StateUnknown or StateRefused.
	State State
	// Response is set for StateDone unless it was too large to keep, the table had
	// no room for it or the key expired before the call finished.
	Response *Response
}
