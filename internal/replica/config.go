package replica

// Config holds the dependencies of a Reader.
type Config struct {
	Source   Source
	Peers    Fetcher
	Observer Observer
	// TreePosition returns the node's current source of changes. It is called before
	// each read.
	TreePosition func() TreePosition
}
