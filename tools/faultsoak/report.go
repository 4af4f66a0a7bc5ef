package main

// report is the result of one seed.
type report struct {
	steps, requests int
	violations      []violation
}
