package coldstart

import "strconv"

// ProbeError reports a health check that did not tell whether the upstream is cold.
type ProbeError struct {
	// Status is the HTTP status; zero if there was no response.
	Status int
	// Err is the error of the transport or of parsing the header; nil if the response
	// has another status than 200 and no header.
	Err error
}

func (e *ProbeError) Error() string {
	text := "health check without result"
	if e.Status != 0 {
		text += ", status " + strconv.Itoa(e.Status)
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns Err.
func (e *ProbeError) Unwrap() error { return e.Err }
