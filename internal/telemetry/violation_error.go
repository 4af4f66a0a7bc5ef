package telemetry

// ViolationError reports a broken invariant.
type ViolationError struct {
	Invariant string
	Detail    string
}

func (e *ViolationError) Error() string { return "invariant " + e.Invariant + " violated: " + e.Detail }
