package replica

// Config wires a Reader to its surroundings.
type Config struct {
	Source   Source
	Peers    Fetcher
	Observer Observer
	// Plan returns from whom the node learns of changes at present.
	Plan func() Plan
}
