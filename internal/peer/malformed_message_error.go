package peer

import (
	"fmt"

	"github.com/filbertpier/filbertpier/internal/message"
)

// MalformedMessageError reports a message that cannot be decoded.
type MalformedMessageError struct {
	Kind message.Kind
	Err  error
}

func (e *MalformedMessageError) Error() string { return fmt.Sprintf("malformed %s message", e.Kind) }

// Unwrap returns the decoding error, if any.
func (e *MalformedMessageError) Unwrap() error { return e.Err }
