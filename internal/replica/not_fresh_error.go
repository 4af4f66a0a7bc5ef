package replica

import "strconv"

// NotFreshError reports a peer that does not hear from the platform.
type NotFreshError struct {
	Addr string
	// At is the revision that the peer is complete to.
	At uint64
}

func (e *NotFreshError) Error() string {
	return e.Addr + " does not hear from the platform, its revision is " + strconv.FormatUint(e.At, 10)
}
