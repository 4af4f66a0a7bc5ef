package placement

import "time"

// Load is the load report that an instance's node sends with each response.
type Load struct {
	Running, Waiting, Slots int
	// LinkBacklog is how long the queued responses will occupy the VM's link,
	// ReceiveBacklog how long the request bodies that it is about to receive will.
	// LinkBytesPerSecond is its bandwidth in each direction; zero means unlimited.
	LinkBacklog, ReceiveBacklog time.Duration
	LinkBytesPerSecond          int
	// CallsPerSecond is the limit that the instance names; zero if it names none.
	CallsPerSecond float64
}
