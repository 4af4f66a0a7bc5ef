package routing

import "github.com/filbertpier/filbertpier/internal/member"

// Decision is the choice of an upstream and why it was chosen.
type Decision struct {
	Member member.Member
	Scope  Scope
	// Candidates is the number of upstreams considered in the scope.
	Candidates int
}
