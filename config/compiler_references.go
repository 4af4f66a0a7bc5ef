package config

import "fmt"

// checkReferences checks that at least one rank is declared, that the services,
// ranks and retry policies of all routes are declared, and that no weight of a
// split is negative. It must run after all sections have been added, because a
// route may refer to declarations in later sections.
func (c *compiler) checkReferences() {
	if c.parseFailed {
		return
	}
	if len(c.doc.ranks) == 0 {
		c.addFault(Fault{Rule: RuleNoRanks, Detail: "the document declares no ranks"})
	}
	c.eachRoute(func(src *source, pointer string, r *Route) {
		if _, ok := c.doc.services[r.Service]; !ok {
			c.faultf(src, pointer+"/service", RuleUnknownService, "route %q uses unknown service %.80q", r.Name, r.Service)
		}
		for i, part := range r.Split {
			partPointer := fmt.Sprintf("%s/split/%d", pointer, i)
			if _, ok := c.doc.services[part.Service]; !ok {
				c.faultf(src, partPointer+"/service", RuleUnknownService, "the split of route %q uses unknown service %.80q", r.Name, part.Service)
			}
			if part.Weight < 0 {
				c.faultf(src, partPointer+"/weight", RuleNonNegative, "weight is %g, want 0 or more", part.Weight)
			}
		}
		if _, ok := c.doc.ranks[r.Rank]; !ok {
			c.faultf(src, pointer+"/rank", RuleUnknownRank, "route %q uses unknown rank %.80q", r.Name, r.Rank)
		}
		if _, ok := c.doc.retryPolicies[r.Retry]; r.Retry != "" && !ok {
			c.faultf(src, pointer+"/retry", RuleUnknownRetry, "route %q uses unknown retry policy %.80q", r.Name, r.Retry)
		}
	})
}

func (c *compiler) eachRoute(visit func(src *source, pointer string, r *Route)) {
	for _, src := range c.sources {
		for i := range src.body.Routes {
			visit(src, fmt.Sprintf("/routes/%d", i), &src.body.Routes[i])
		}
	}
}
