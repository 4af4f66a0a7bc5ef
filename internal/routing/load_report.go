package routing

// LoadReport is the load that an upstream's node claims. It may lag or be
// wrong, so the sender's own observations count more.
type LoadReport struct {
	Running, Waiting, Slots int
	// Leaving is set if the upstream takes no new work.
	Leaving bool
}
