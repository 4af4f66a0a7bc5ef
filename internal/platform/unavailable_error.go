package platform

import "fmt"

// UnavailableError reports a platform read that failed.
type UnavailableError struct {
	Key string
	// Status is the HTTP status, or 0 if Err is set.
	Status int
	Err    error
}

func (e *UnavailableError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("reading %s from the platform: %v", e.Key, e.Err)
	}
	return fmt.Sprintf("reading %s from the platform: status %d", e.Key, e.Status)
}

// Unwrap returns the error of the HTTP client or the rate limiter, or nil if the
// platform responded with an error status.
func (e *UnavailableError) Unwrap() error { return e.Err }
