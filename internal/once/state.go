package once

// State is the state of a key's execution.
type State uint8

// The states. All but StateRunning are final. StateUnknown means that the call
// may have run. StateRefused means that it did not run and never will under this
// key: the caller was told so, and may have sent the call again with a new key.
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
