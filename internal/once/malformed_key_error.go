package once

import "strconv"

// MalformedKeyError reports text that is not in the format of idempotency keys, so
// that no node can have issued it.
type MalformedKeyError struct {
	// Length is the length of the rejected text in bytes.
	Length int
}

func (e *MalformedKeyError) Error() string {
	return "malformed idempotency key of " + strconv.Itoa(e.Length) + " bytes: not issued by a node"
}
