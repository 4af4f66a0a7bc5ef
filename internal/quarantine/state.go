package quarantine

// State is what a node knows about a fingerprint.
type State uint8

// The states.
const (
	// StateClear: no crash is known, or the request ran well since.
	StateClear State = iota
	// StateSuspect: the request ran while an upstream crashed. It may run only
	// while no other suspect runs on the same upstream.
	StateSuspect
	// StateQuarantined: an upstream crashed while the request was its only
	// suspect. It does not run.
	StateQuarantined
)

var stateNames = [...]string{"clear", "suspect", "quarantined"}

// String returns the name used in logs.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}
