package spread

import "github.com/filbertpier/filbertpier/internal/member"

// targetCollector gathers distinct members.
type targetCollector struct {
	self string
	seen map[string]bool
	out  []member.Member
}

func (c *targetCollector) add(members ...member.Member) {
	for _, m := range members {
		if !c.seen[m.VM] {
			c.seen[m.VM] = true
			c.out = append(c.out, m)
		}
	}
}
