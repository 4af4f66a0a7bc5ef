package spread

import "github.com/filbertpier/filbertpier/internal/member"

// targetCollector collects the targets of an item without duplicates.
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
