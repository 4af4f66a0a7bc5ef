package peers

import "strconv"

// MessageTooLongError reports a message from another process that is longer than
// accepted. It ends the connection.
type MessageTooLongError struct {
	// Limit is the longest message that is accepted, in bytes.
	Limit int
}

func (e *MessageTooLongError) Error() string {
	return "the message is longer than " + strconv.Itoa(e.Limit) + " bytes"
}
