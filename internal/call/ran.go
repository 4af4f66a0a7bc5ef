package call

// Ran tells whether a call ran on an upstream.
type Ran string

const (
	// RanNo is reported only if it is certain that the call did not run.
	RanNo  Ran = "no"
	RanYes Ran = "yes"
	// RanUnknown means that the call may have run.
	RanUnknown Ran = "unknown"
)
