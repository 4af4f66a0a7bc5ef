package once

// State is the state of a key's execution.
type State uint8

// The states. All but StateRunning are final. A refused key never runs later,
// because its caller learned that the call did not run and may use a new key.
// StateUnknown means that the call may have run.
const (
	StateRunning State = iota
	StateDone
	StateUnknown
	StateRefused
)

var stateNames = [...]string{"running", "done", "unknown", "refused"}

// String returns the name used in logs.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}
