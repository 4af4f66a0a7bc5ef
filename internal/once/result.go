package once

// Result is the final state of an execution.
type Result struct {
	// State is not StateRunning.
	State State
	// Response is set for StateDone unless it was larger than MaxAnswerBytes.
	Response *Response
}
