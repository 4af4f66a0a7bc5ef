package placement

import "time"

// Outcome is how an attempt ended, as its sender saw it.
type Outcome struct {
	Kind Kind
	// Order is the order of the call's rank.
	Order int
	// Ran is how long the call ran at the instance; zero if unknown.
	Ran time.Duration
	// Load is nil if the answer carried no report.
	Load *Load
	// Wait is how long a refusing instance expects to be busy.
	Wait time.Duration
}
