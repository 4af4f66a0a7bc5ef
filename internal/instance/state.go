package instance

// State is what the platform says of an instance.
type State uint8

// The states.
const (
	// Ready instances take new work.
	Ready State = iota
	// Draining instances finish what they run.
	Draining
	// Lapsed instances have no entry any more. An entry that expired during an
	// outage of the platform comes back shortly after it, so the instance may
	// still serve.
	Lapsed
	// Gone instances stay away.
	Gone
)

var stateNames = [...]string{"ready", "draining", "lapsed", "gone"}

// String returns the name for logs.
func (s State) String() string { return stateNames[s] }
