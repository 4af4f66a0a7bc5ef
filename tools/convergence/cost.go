package convergence

import "time"

// Cost is what the processes of a fleet used over a time.
type Cost struct {
	Nodes int
	Over  time.Duration
	// CPU is the processor time of all nodes. The nodes serve no calls
	// meanwhile, so that all of it is control work.
	CPU time.Duration
	// Resident is the sum of the nodes' resident memory in bytes.
	Resident int64
	// SentBytes and CrossRegionBytes are the bytes written to peers.
	SentBytes        int64
	CrossRegionBytes int64
	// PlatformBytes are the values that nodes outside the platform's region
	// read from the platform.
	PlatformBytes int64
}

// CPUPercent returns the mean share of one core per node.
func (c Cost) CPUPercent() float64 {
	return 100 * c.CPU.Seconds() / c.Over.Seconds() / float64(c.Nodes)
}

// BytesPerSecond returns the mean bytes sent to peers per node and second.
func (c Cost) BytesPerSecond() float64 {
	return float64(c.SentBytes) / c.Over.Seconds() / float64(c.Nodes)
}

// CrossRegionPerSecond returns the bytes per second that the whole fleet sends
// to peers in other regions.
func (c Cost) CrossRegionPerSecond() float64 { return float64(c.CrossRegionBytes) / c.Over.Seconds() }
