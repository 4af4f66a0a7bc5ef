package main

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/admission"
)

// flight is one call of a caller.
type flight struct {
	service, rank int
	start         time.Time
	deadline      time.Time
	sender        *sender
	measured      bool

	attempts int
	tried    map[string]bool
	// The fields below belong to the current attempt.
	upstream *upstream
	sent     time.Time
	work     time.Duration
	atSender *admission.Ticket
	atNode   *admission.Ticket
}
