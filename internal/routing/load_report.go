package routing

// LoadReport is the load that an upstream's node reports. It may be outdated or
// wrong, so the sender's own observations count more.
type LoadReport struct {
	Running, Waiting, Slots int
	// Leaving is set if the upstream accepts no new calls.
	Leaving bool
}
