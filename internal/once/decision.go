package once

// Decision is the owner's decision about one call.
type Decision struct {
	Action Action
	// Execution is set for ActionRun, ActionJoin and ActionReplay.
	Execution *Execution
}
