package config

import (
	"fmt"
	"net/http"
	"strings"
)

// lint reports what is valid but probably not meant. It runs on valid
// documents only.
func (c *compiler) lint() {
	if len(c.doc.routes) == 0 {
		c.report.Warnings = append(c.report.Warnings, Fault{Rule: WarnNoRoutes, Detail: "the document declares no routes; no call would be served"})
	}
	c.lintUnused()
	c.lintFloors()
	byPrefix := map[string]*Route{}
	for _, r := range c.doc.routes {
		byPrefix[r.PathPrefix] = r
	}
	c.eachRoute(func(src *source, at string, r *Route) { c.lintRoute(src, at, r, byPrefix) })
}

func (c *compiler) lintRoute(src *source, at string, r *Route, byPrefix map[string]*Route) {
	if rank := c.doc.ranks[r.Rank]; rank.TargetMs > r.TimeoutMs {
		c.warn(src, at+"/timeoutMs", WarnTargetOverTimeout, "calls end after %d ms, before the target of rank %q (%d ms)", r.TimeoutMs, r.Rank, rank.TargetMs)
	}
	if !r.Idempotent && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		c.warn(src, at+"/idempotent", WarnUnsafeRead, "%s calls of route %q need an idempotency key", r.Method, r.Name)
	}
	if other := byPrefix[r.PathPrefix+"/"]; other != nil && (other.Service != r.Service || other.Rank != r.Rank) {
		c.warn(src, at+"/pathPrefix", WarnSimilarPrefix, "only %q itself gets here; paths below it go to route %q", r.PathPrefix, other.Name)
	}
	if r.Method == "" && c.allMethodsRouted(r.PathPrefix) {
		c.warn(src, at, WarnShadowedRoute, "other routes take every method of %q", r.PathPrefix)
	}
}

func (c *compiler) allMethodsRouted(prefix string) bool {
	for method := range knownMethods {
		if _, ok := c.matches[method+" "+prefix]; !ok {
			return false
		}
	}
	return true
}

func (c *compiler) lintUnused() {
	services, ranks, retries := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, r := range c.doc.routes {
		services[r.Service], ranks[r.Rank], retries[r.Retry] = true, true, true
	}
	for _, src := range c.sources {
		for i, s := range src.body.Services {
			if !services[s.Name] {
				c.warn(src, fmt.Sprintf("/services/%d", i), WarnUnusedService, "no route points at service %q", s.Name)
			}
		}
		for i, r := range src.body.Ranks {
			if !ranks[r.Name] {
				c.warn(src, fmt.Sprintf("/ranks/%d", i), WarnUnusedRank, "no route uses rank %q; only calls that name it do", r.Name)
			}
		}
		for i, p := range src.body.Retries {
			if !retries[p.Name] {
				c.warn(src, fmt.Sprintf("/retries/%d", i), WarnUnusedRetry, "no route uses retry policy %q", p.Name)
			}
		}
	}
}

// lintFloors reports floors that reserve less than one slot of some service.
func (c *compiler) lintFloors() {
	for _, src := range c.sources {
		for i, r := range src.body.Ranks {
			var small []string
			for _, s := range c.doc.Services() {
				if r.Floor > 0 && r.Floor*float64(s.Slots) < 1 {
					small = append(small, s.Name)
				}
			}
			if len(small) > 0 {
				c.warn(src, fmt.Sprintf("/ranks/%d/floor", i), WarnFloorBelowSlot, "floor %g of rank %q is less than one slot of %.200s",
					r.Floor, r.Name, strings.Join(small, ", "))
			}
		}
	}
}
