package main

// regression is a seed that found a fault in the past.
type regression struct {
	seed uint64
	// cause describes the fault.
	cause string
}

const causeRefusalAtStop = "a refusal at a stop closed the connection for requests behind it that had run"

// regressions are run before other seeds if --regressions is set.
var regressions = []regression{
	{101, "the soak reported the exit of a stopped node as unexpected if the node's restart came first"},
	{4500, causeRefusalAtStop},
	{4501, causeRefusalAtStop},
	{4502, causeRefusalAtStop},
	{4503, causeRefusalAtStop},
	{4504, causeRefusalAtStop},
	{4505, causeRefusalAtStop},
	{4506, causeRefusalAtStop},
	{4507, "the end of a stop cut responses to requests sent ahead that waited for their turn"},
}
