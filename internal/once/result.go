package once

// Result is the final state of an execution.
type Result struct {
	// State is not StateRunning.
	State State
	// Answer is set for StateDone unless it was larger than MaxAnswerBytes.
	Answer *Answer
}
