package routing

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
)

// Decision is the choice of an upstream and why it was chosen.
type Decision struct {
	Member member.Member
	Scope  Scope
	Reason Reason
	// Candidates is the number of upstreams in service in the scope.
	Candidates int
	// LeftOut counts the upstreams that could not be chosen.
	LeftOut LeftOut
	// Expected is the expected latency that the choice was made by; zero if
	// nothing is known.
	Expected time.Duration
}
