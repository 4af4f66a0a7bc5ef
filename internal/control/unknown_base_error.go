package control

import (
	"fmt"

	"github.com/filbertpier/filbertpier/snapshot"
)

// UnknownBaseError reports a delta whose base version the node does not hold.
type UnknownBaseError struct {
	Base snapshot.ID
}

// Error names the number of the missing base version.
func (e *UnknownBaseError) Error() string {
	return fmt.Sprintf("delta base version %d is not held", e.Base.Version)
}
