package placement

import "time"

// Outcome is how an attempt ended, as its sender saw it.
type Outcome struct {
	Kind OutcomeKind
	// Order is the order of the call's rank.
	Order int
	// ServiceTime is how long the call ran at the instance; zero if unknown.
	ServiceTime time.Duration
	// Load is nil if the answer carried no report.
	Load *Load
	// BusyFor is how long a refusing instance expects to be busy.
	BusyFor time.Duration
}
