package effect

// Log reports a decision: one line in the log and one count in the metrics.
type Log struct {
	Event Event
	// Fields holds alternating keys and values for the log line.
	Fields []any
}

func (Log) effect() {}
