package dataplane

import "time"

// SilentConnectionError reports a connection to another node on which neither a
// final nor an informational response arrived within Timeout.
type SilentConnectionError struct {
	Addr    string
	Timeout time.Duration
}

func (e *SilentConnectionError) Error() string {
	return "the connection to " + e.Addr + " was silent for " + e.Timeout.String()
}
