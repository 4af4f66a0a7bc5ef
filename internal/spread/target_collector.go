package spread

import "github.com/filbertpier/filbertpier/internal/member"

// targetCollector gathers distinct members.
type targetCollector struct {
	self    string
	added   map[string]bool
	targets []member.Member
}

func (c *targetCollector) add(members ...member.Member) {
	for _, m := range members {
		if !c.added[m.VM] {
			c.added[m.VM] = true
			c.targets = append(c.targets, m)
		}
	}
}
