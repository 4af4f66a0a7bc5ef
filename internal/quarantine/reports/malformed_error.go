package reports

import "strconv"

// MalformedError reports a message that cannot be decoded or is too long.
type MalformedError struct {
	// Fingerprints is the number of fingerprints of a message that is too long.
	Fingerprints int
	// Err is the error of the decoder; nil if the message is too long.
	Err error
}

func (e *MalformedError) Error() string {
	if e.Err != nil {
		return "malformed message: " + e.Err.Error()
	}
	return strconv.Itoa(e.Fingerprints) + " fingerprints in one message, want at most " + strconv.Itoa(maxFingerprints)
}

// Unwrap returns the error of the decoder.
func (e *MalformedError) Unwrap() error { return e.Err }
