package once

import "strconv"

// MalformedKeyError reports an idempotency key that no node has issued.
type MalformedKeyError struct {
	// Length is the length of the rejected text in bytes.
	Length int
}

func (e *MalformedKeyError) Error() string {
	return "malformed idempotency key of " + strconv.Itoa(e.Length) + " bytes: not issued by a node"
}
