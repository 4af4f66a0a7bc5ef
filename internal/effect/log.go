package effect

// Log records a decision as one log line and increments its metric counter.
type Log struct {
	Event Event
	// Fields holds alternating keys and values for the log line.
	Fields []any
}

func (Log) effect() {}
