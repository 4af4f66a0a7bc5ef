package replica

// Config wires a Reader to its surroundings.
type Config struct {
	Source   Source
	Peers    Fetcher
	Observer Observer
	// ReadsPerSecond is the platform's read rate for all nodes together.
	ReadsPerSecond float64
	// FleetSize returns the number of nodes that read the platform.
	FleetSize func() int
}
