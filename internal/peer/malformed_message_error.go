package peer

import (
	"fmt"

	"github.com/filbertpier/filbertpier/internal/message"
)

// MalformedMessageError reports a message that cannot be decoded. Kind is empty
// if the frame is not valid JSON-RPC.
type MalformedMessageError struct {
	Kind message.Kind
	Err  error
}

func (e *MalformedMessageError) Error() string { return fmt.Sprintf("malformed %q message", e.Kind) }

// Unwrap returns the JSON error, or nil if the message had no params.
func (e *MalformedMessageError) Unwrap() error { return e.Err }
