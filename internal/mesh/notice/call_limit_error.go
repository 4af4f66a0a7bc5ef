package notice

import "strconv"

// CallLimitError reports a response whose limit of calls per second is not a
// decimal number of at least zero. The limit named before stays in force.
type CallLimitError struct {
	// Text is the value of the header.
	Text string
}

func (e *CallLimitError) Error() string {
	return "invalid limit of calls per second " + strconv.Quote(e.Text)
}
