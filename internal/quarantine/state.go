package quarantine

// State is the state of a fingerprint on a node. Until it expires, crash reports
// can raise it but not lower it.
type State uint8

// A request moves from StateClear to StateSuspect with the first crash, and to
// StateQuarantined with the first crash during which it was the only suspect.
const (
	// StateClear means that no crash has been reported, that the request has
	// succeeded since, or that the entry has expired.
	StateClear State = iota
	// StateSuspect means that the request ran while an upstream crashed. It may
	// run only while no other suspect runs on the same upstream.
	StateSuspect
	// StateQuarantined means that an upstream crashed while the request was its
	// only suspect. It must not run.
	StateQuarantined
)

var stateNames = [...]string{"clear", "suspect", "quarantined"}

// String returns the state's name for logs, or "invalid".
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}
