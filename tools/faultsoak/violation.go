package main

import (
	"fmt"
	"time"
)

// violation describes a guarantee that was broken.
type violation struct {
	Rule string
	// Elapsed is the time from the start of the run to the violation.
	Elapsed time.Duration
	Detail  string
}

func (v violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", v.Rule, v.Elapsed.Seconds(), v.Detail)
}
