package routing

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
)

// Decision is the chosen upstream and the reason for the choice.
type Decision struct {
	Member member.Member
	Scope  Scope
	Reason Reason
	// Candidates is the number of upstreams in the scope with the same state as
	// the chosen one.
	Candidates int
	// Skipped counts the upstreams that could not be chosen.
	Skipped SkipCounts
	// Expected is the expected latency of the chosen upstream.
	Expected time.Duration
}
