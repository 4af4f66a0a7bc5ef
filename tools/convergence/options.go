package convergence

// Options configure a run.
type Options struct {
	// Bin is the folder of the programs.
	Bin  string
	Seed uint64
	// NodesPerZone are the sizes of the virtual fleets, which have 6 zones.
	NodesPerZone []int
	// Subnet is the second octet of the loopback addresses.
	Subnet int
}
