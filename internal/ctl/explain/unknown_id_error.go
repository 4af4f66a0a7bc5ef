package explain

// UnknownIDError reports that no log line is about a request. Either the request
// reached none of the nodes whose logs were read, or these nodes dropped its
// lines.
type UnknownIDError struct {
	ID string
	// Files is the number of log files read, DroppedLines the number of lines
	// that the nodes reported as dropped.
	Files, DroppedLines int
}

// Error names the request id. It does not include the counts.
func (e *UnknownIDError) Error() string { return "no log line found for request " + e.ID }
