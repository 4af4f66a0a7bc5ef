package dataplane

import "time"

// SilentConnectionError reports a connection to another node on which neither
// an answer nor an informational response arrived.
type SilentConnectionError struct {
	Addr    string
	Timeout time.Duration
}

func (e *SilentConnectionError) Error() string {
	return "the connection to " + e.Addr + " was silent for " + e.Timeout.String()
}
