package explain

// UnknownIDError reports that no log line names a request. Either it reached
// none of the nodes whose logs were given, or their lines were left out.
type UnknownIDError struct {
	ID string
	// Files counts the log files that were read, LeftOut the lines that the
	// nodes report as left out.
	Files, LeftOut int
}

func (e *UnknownIDError) Error() string { return "no log line names the request " + e.ID }
