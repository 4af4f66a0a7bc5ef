package control

// Invariants records violated invariants. *telemetry.Invariants implements it;
// the implementation must be safe for concurrent use.
type Invariants interface {
	// Check records a violation of the named invariant unless ok.
	Check(ok bool, name, format string, args ...any)
}
