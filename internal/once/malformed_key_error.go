package once

import "strconv"

// MalformedKeyError reports an idempotency key that no node has issued.
type MalformedKeyError struct {
	Length int
}

func (e *MalformedKeyError) Error() string {
	return "an idempotency key of " + strconv.Itoa(e.Length) + " bytes was not issued by a node"
}
