package upstream

import "time"

// Config holds the parameters of a stand-in upstream.
type Config struct {
	// VM is the id of the VM; each response carries it in HeaderVM.
	VM string
	// Slots is the number of calls that may run at once. Calls that run in
	// excess of it are counted in Stats.OverSlots.
	Slots int64
	// Queue makes calls in excess of Slots wait for a slot; otherwise they run
	// immediately.
	Queue bool
	// Work is the duration of a call.
	Work time.Duration
	// Crash ends the process; with nil, requests to crash are ignored.
	Crash func()
}
