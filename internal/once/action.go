package once

// Action is how the owner of a key handles a call.
type Action uint8

// The actions that Begin returns.
const (
	// ActionRun: the caller of Begin runs the call and then calls Finish.
	ActionRun Action = iota
	// ActionJoin: the call is already running; Execution holds its result once
	// Done is closed.
	ActionJoin
	// ActionReplay: the call has finished; Execution holds its final result.
	ActionReplay
	// ActionExpired: the key has expired or was issued too far in the future.
	// Whether the call ran is not known.
	ActionExpired
	// ActionFull: the key's shard is full, or the key was issued no later than one
	// that the full shard rejected. The call did not run and never will under
	// this key.
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
