package replica

// Config holds the dependencies of a Reader.
type Config struct {
	Source   Source
	Peers    Fetcher
	Observer Observer
	// TreePosition returns the node's current place in the distribution tree.
	// It is called before each read.
	TreePosition func() TreePosition
}
