package admission

// LoadReport is the load of an upstream; it is sent with each response.
type LoadReport struct {
	Running, Waiting, Slots int
	// CallsPerSecond is the limit that the upstream names; zero if it names none.
	CallsPerSecond float64
	// Draining is set once the upstream takes no new calls.
	Draining bool
}
