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
	// Candidates is the number of upstreams from which the choice was made: those
	// of the scope that are serving, busy, ready for a probe or, as a last resort,
	// unavailable.
	Candidates int
	// Skipped counts upstreams in a state that normally gets no calls. With
	// ReasonLastResort it includes the chosen one.
	Skipped SkipCounts
	// Expected is the expected latency of the chosen upstream, raised by penalties
	// for refused and failed calls and failed health checks.
	Expected time.Duration
}
