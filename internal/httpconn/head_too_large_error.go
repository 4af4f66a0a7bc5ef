package httpconn

import "strconv"

// HeadTooLargeError reports a connection on which no response began within
// maxHeadBytes and maxInterimResponses, or an earlier response did not end within
// maxStaleBytes. Pool.Do returns it wrapped in a *BrokenError.
type HeadTooLargeError struct{}

func (e *HeadTooLargeError) Error() string {
	return "no response within " + strconv.Itoa(maxHeadBytes) + " bytes and " + strconv.Itoa(maxInterimResponses) +
		" interim responses, or an earlier one of more than " + strconv.Itoa(maxStaleBytes) + " bytes"
}
