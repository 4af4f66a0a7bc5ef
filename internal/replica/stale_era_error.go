package replica

import "github.com/filbertpier/filbertpier/internal/revision"

// StaleEraError reports a response of the platform that is of an earlier era than the
// node's copy, and therefore was sent before the platform returned from an older copy.
type StaleEraError struct {
	// Got is the revision of the response, Held that of the node's copy.
	Got, Held revision.Revision
}

func (e *StaleEraError) Error() string {
	return "the response at revision " + e.Got.String() + " is of an earlier era than the copy at revision " + e.Held.String()
}
