package comeback

// Key selects the calls that compete for the same room.
type Key struct {
	Service string
	// Order is the position of the rank, 0 for the most urgent.
	Order int
}
