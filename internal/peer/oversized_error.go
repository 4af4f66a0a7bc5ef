package peer

import "fmt"

// OversizedError reports an incoming message whose length prefix exceeds
// maxMessageBytes.
type OversizedError struct {
	Bytes uint64
}

func (e *OversizedError) Error() string {
	return fmt.Sprintf("message of %d bytes; at most %d are allowed", e.Bytes, maxMessageBytes)
}
