package instance

// State is the lifecycle state of an instance and decides whether it gets calls.
type State uint8

// The states. The order matters: Lapsed and Gone instances, which are no longer
// listed or lost their address, are selected by State >= Lapsed.
const (
	// Ready instances accept new calls.
	Ready State = iota
	// Draining instances finish their running calls and accept no new ones.
	Draining
	// Lapsed instances are no longer listed. They still get calls, because an
	// entry that expired during a platform outage returns soon after the outage.
	Lapsed
	// Gone instances get no calls.
	Gone
)

var stateNames = [...]string{"ready", "draining", "lapsed", "gone"}

// String returns the name used in logs, for example "draining".
func (s State) String() string { return stateNames[s] }
