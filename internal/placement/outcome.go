package placement

import "time"

// Outcome describes how an attempt ended, as its sender observed it.
type Outcome struct {
	Kind OutcomeKind
	// Order is the position of the call's rank, 0 for the most urgent.
	Order int
	// ServiceTime is how long the instance worked on the call; zero if unknown.
	ServiceTime time.Duration
	// Load is nil if the response carried no load report.
	Load *Load
	// BusyFor is how long the instance's node expects to refuse calls of the rank;
	// used only for Refused.
	BusyFor time.Duration
}
