package retry

// Options configures Budgets.
type Options struct {
	// OutermostReserve is the number of retries that an outermost call's
	// service starts with. More survives the loss of an upstream after few
	// calls; all nodes together can spend it at once.
	OutermostReserve float64
	// NestedReserve is the same for each nested level.
	NestedReserve float64
}
