package placement

import "time"

// Load is what an instance's node reports with each answer.
type Load struct {
	Running, Waiting, Slots int
	// LinkBacklog is how long the VM's link is taken by answers, and LinkRate its bytes
	// per second; zero if it is no limit.
	LinkBacklog        time.Duration
	LinkBytesPerSecond int
}
