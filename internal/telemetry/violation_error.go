package telemetry

// ViolationError reports a violated invariant. Invariants.Check panics with it.
type ViolationError struct {
	Invariant string
	Detail    string
}

// Error names the invariant and the values that violated it.
func (e *ViolationError) Error() string { return "invariant " + e.Invariant + " violated: " + e.Detail }
