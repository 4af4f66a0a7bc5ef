package routing

import "github.com/filbertpier/filbertpier/internal/member"

// Scope is the smallest area that contains the sender and the upstream.
type Scope string

// The scopes, nearest first. ScopeRemote is another region.
const (
	ScopeZone   Scope = "zone"
	ScopeRegion Scope = "region"
	ScopeRemote Scope = "remote"
)

var scopes = [...]Scope{ScopeZone, ScopeRegion, ScopeRemote}

// scopeIndex returns the index in scopes of the scope of m as seen from self.
func scopeIndex(self, m *member.Member) int {
	switch {
	case m.Region != self.Region:
		return 2
	case m.Zone != self.Zone:
		return 1
	default:
		return 0
	}
}
