package main

// regression is a seed that found a fault in the past.
type regression struct {
	seed uint64
	// cause describes the fault.
	cause string
}

// regressions are run before other seeds if --regressions is set.
var regressions = []regression{
	{101, "the soak reported the exit of a stopped node as unexpected if the node's restart came first"},
}
