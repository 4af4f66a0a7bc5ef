package placement

import "time"

// Outcome is the end of an attempt as its sender observed it.
type Outcome struct {
	Kind OutcomeKind
	// Order is the position of the call's rank, 0 for the most urgent.
	Order int
	// ServiceTime is how long the instance worked on the call; zero if unknown.
	ServiceTime time.Duration
	// Load is nil if the response carried no load report.
	Load *Load
	// BusyFor is how long a refusing instance expects to be busy.
	BusyFor time.Duration
}
