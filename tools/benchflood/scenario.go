package main

// scenario gives the offered work of each rank, most urgent first, as a
// multiple of the capacity of all upstreams while warm.
type scenario struct {
	name    string
	offered [3]float64
	// fits is set if the urgent work alone fits the capacity, so that all of
	// it can meet its target.
	fits bool
}

var scenarios = []scenario{
	{"flood-least", [3]float64{0.25, 0.25, 10}, true},
	{"flood-urgent", [3]float64{10, 0.25, 0.15}, false},
	{"flood-both", [3]float64{10, 0.25, 10}, false},
}
