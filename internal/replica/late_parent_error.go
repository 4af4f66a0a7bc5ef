package replica

// LateParentError reports a parent that did not confirm its copy in time and did not
// say that it cannot. The node, the parent or the path between them may be slow.
type LateParentError struct {
	Addr string
	// Err is the error of the poll; nil if the parent responded.
	Err error
}

func (e *LateParentError) Error() string {
	text := e.Addr + " has not confirmed its copy in time"
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the error of the poll.
func (e *LateParentError) Unwrap() error { return e.Err }
