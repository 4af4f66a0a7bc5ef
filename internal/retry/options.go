package retry

// Options configures Budgets.
type Options struct {
	// OutermostReserve is the number of retry tokens that a service starts
	// with at depth zero. A larger reserve covers the loss of an upstream when
	// few calls have earned tokens, but all nodes can spend their reserves at
	// once.
	OutermostReserve float64
	// NestedReserve is the number of tokens that each nested level starts with.
	NestedReserve float64
}
