package once

// Decision is the result of Table.Begin.
type Decision struct {
	Action Action
	// Execution is set for ActionRun, ActionJoin and ActionReplay.
	Execution *Execution
}
