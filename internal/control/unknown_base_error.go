package control

import (
	"fmt"

	"github.com/filbertpier/filbertpier/snapshot"
)

// UnknownBaseError reports a delta to a version that the node no longer holds.
type UnknownBaseError struct {
	Base snapshot.ID
}

func (e *UnknownBaseError) Error() string {
	return fmt.Sprintf("delta to version %d, which is not held", e.Base.Version)
}
