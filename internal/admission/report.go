package admission

// Report is the load of an upstream, sent to callers with each answer.
type Report struct {
	Running, Waiting, Slots int
	// Draining is set once the upstream takes no new work.
	Draining bool
}
