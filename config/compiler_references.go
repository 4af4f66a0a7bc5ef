package config

import "fmt"

// checkReferences runs after all sections are known, so that the order of
// sections does not matter.
func (c *compiler) checkReferences() {
	if c.unread {
		return
	}
	if len(c.doc.ranks) == 0 {
		c.add(Fault{Rule: RuleNoRanks, Detail: "the document declares no ranks"})
	}
	c.eachRoute(func(src *source, at string, r *Route) {
		if _, ok := c.doc.services[r.Service]; !ok {
			c.fault(src, at+"/service", RuleUnknownService, "route %q points at unknown service %.80q", r.Name, r.Service)
		}
		for i, part := range r.Split {
			pointer := fmt.Sprintf("%s/split/%d", at, i)
			if _, ok := c.doc.services[part.Service]; !ok {
				c.fault(src, pointer+"/service", RuleUnknownService, "route %q sends a part to unknown service %.80q", r.Name, part.Service)
			}
			if part.Weight < 0 {
				c.fault(src, pointer+"/weight", RuleNonNegative, "weight is %g", part.Weight)
			}
		}
		if _, ok := c.doc.ranks[r.Rank]; !ok {
			c.fault(src, at+"/rank", RuleUnknownRank, "route %q uses unknown rank %.80q", r.Name, r.Rank)
		}
		if _, ok := c.doc.retries[r.Retry]; r.Retry != "" && !ok {
			c.fault(src, at+"/retry", RuleUnknownRetry, "route %q uses unknown retry policy %.80q", r.Name, r.Retry)
		}
	})
}

func (c *compiler) eachRoute(do func(src *source, at string, r *Route)) {
	for _, src := range c.sources {
		for i := range src.body.Routes {
			do(src, fmt.Sprintf("/routes/%d", i), &src.body.Routes[i])
		}
	}
}
