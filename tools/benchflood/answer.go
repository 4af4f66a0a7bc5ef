package main

import "github.com/filbertpier/filbertpier/internal/routing"

// answer is what comes back to the sender of an attempt.
type answer struct {
	outcome routing.Outcome
	report  *routing.LoadReport
}
