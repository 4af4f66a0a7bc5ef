package placement

import "time"

// Outcome is how an attempt ended, as its sender saw it.
type Outcome struct {
	Kind Kind
	// Order is the order of the call's rank.
	Order int
	// Total is the time from sending to the end of the answer; Ran is the part
	// in which the call ran at the instance. Both are zero if unknown.
	Total, Ran time.Duration
	// Load is nil if the answer carried no report.
	Load *Load
	// Wait is how long a refusing instance expects to be busy.
	Wait time.Duration
}
