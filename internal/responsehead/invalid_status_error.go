package responsehead

import "strconv"

// InvalidStatusError reports a response whose status cannot be that of a response.
type InvalidStatusError struct {
	Status int
}

// Error names the status.
func (e *InvalidStatusError) Error() string {
	return "a response has the invalid status " + strconv.Itoa(e.Status)
}
