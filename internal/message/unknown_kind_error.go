package message

import "fmt"

// UnknownKindError reports a message of a kind that this node does not support.
type UnknownKindError struct {
	Kind Kind
}

func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("unknown message kind %.40q", string(e.Kind))
}
