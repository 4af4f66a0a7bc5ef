package main

import (
	"fmt"
	"time"
)

// violation is a broken promise.
type violation struct {
	Rule   string
	At     time.Duration
	Detail string
}

func (v violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", v.Rule, v.At.Seconds(), v.Detail)
}
