package intake

import "strconv"

// RefusedError reports that there is no room for what a client has sent. Nothing of it
// was passed on.
type RefusedError struct {
	Class Class
	// Bytes is the memory that was asked for.
	Bytes int64
}

func (e *RefusedError) Error() string {
	return "no memory for " + strconv.FormatInt(e.Bytes, 10) + " bytes of a " + e.Class.String()
}
