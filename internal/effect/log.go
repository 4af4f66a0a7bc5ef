package effect

// Log writes an event as one log line and increments the event's metric counter.
type Log struct {
	Event Event
	// Fields holds alternating keys and values for the log line.
	Fields []any
}

func (Log) effect() {}
