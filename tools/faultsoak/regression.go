package main

// regression is a seed that once failed.
type regression struct {
	seed uint64
	// cause says what was wrong.
	cause string
}

// regressions are played before other seeds.
var regressions = []regression{
	{101, "the soak took the end of a stopped node for an end of its own when the next start came first"},
}
