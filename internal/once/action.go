package once

// Action is how the owner of a key handles a call.
type Action uint8

// The actions that Begin returns.
const (
	// ActionRun: the caller of Begin runs the call and then calls Finish.
	ActionRun Action = iota
	// ActionJoin: the call is already running; Execution gives its result.
	ActionJoin
	// ActionReplay: the call has a final result.
	ActionReplay
	// ActionExpired: the key is outside its validity, and whether it ran is no
	// longer known.
	ActionExpired
	// ActionFull: the table is full; the key did not run and never will.
	ActionFull
	// ActionMismatch: the key was first used with a different request.
	ActionMismatch
)

var actionNames = [...]string{"run", "join", "replay", "expired", "full", "mismatch"}

// String returns the name used in logs.
func (a Action) String() string {
	if int(a) < len(actionNames) {
		return actionNames[a]
	}
	return "invalid"
}
