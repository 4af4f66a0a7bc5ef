package routing

import (
	"math/rand/v2"

	"github.com/filbertpier/filbertpier/internal/member"
)

// Picker chooses upstreams for calls. It is safe for concurrent use.
type Picker struct{}

// NewPicker returns a picker.
func NewPicker() *Picker { return &Picker{} }

// Pick chooses an upstream with a service label: in the node's zone, else in
// its region, else anywhere. Members in exclude are left out. It returns a
// *NoUpstreamError.
func (p *Picker) Pick(view *member.View, self member.Member, service string, exclude map[string]bool, rng *rand.Rand) (Decision, error) {
	all := view.Service(service)
	var byScope [3][]member.Member
	for _, m := range all {
		if m.Status == member.Leaving || m.Status == member.Suspect || exclude[m.VM] || m.Boot == 0 {
			continue
		}
		i := scopeIndex(self, m)
		byScope[i] = append(byScope[i], m)
	}
	for i, scope := range []Scope{ScopeZone, ScopeRegion, ScopeRemote} {
		if n := len(byScope[i]); n > 0 {
			return Decision{Member: byScope[i][rng.IntN(n)], Scope: scope, Candidates: n}, nil
		}
	}
	return Decision{}, &NoUpstreamError{Service: service, Known: len(all)}
}

func scopeIndex(self, m member.Member) int {
	switch {
	case m.Region != self.Region:
		return 2
	case m.Zone != self.Zone:
		return 1
	default:
		return 0
	}
}
