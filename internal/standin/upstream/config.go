package upstream

import "time"

// Config configures a stand-in upstream.
type Config struct {
	// VM is told in each answer.
	VM string
	// Slots is the number of calls that may run at once; more is counted as a
	// violation.
	Slots int64
	// Queue makes calls beyond Slots wait for a slot; otherwise they run at
	// once and are counted.
	Queue bool
	// Work is how long a call runs.
	Work time.Duration
	// Crash ends the process; nil ignores crash requests.
	Crash func()
}
