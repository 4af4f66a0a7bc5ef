package once

// State is what the owner knows about the execution of a key.
type State uint8

// The states. All but StateRunning are final: a refused key never runs later,
// because its caller has been told that it did not run and may use a new key.
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
