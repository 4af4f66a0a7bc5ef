package once

// Action tells what to do with a call that carries a key.
type Action uint8

// The actions.
const (
	// ActionRun: the caller of Begin runs the call and then calls Finish.
	ActionRun Action = iota
	// ActionJoin: the call runs; its result comes through Execution.
	ActionJoin
	// ActionReplay: the call has a final result.
	ActionReplay
	// ActionExpired: the key is outside its validity; whether it ran is not
	// known any more.
	ActionExpired
	// ActionFull: the table has no room; the key did not run and will not.
	ActionFull
	// ActionMismatch: the key belongs to a different request.
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
