package config

import (
	"fmt"
	"net/http"
	"strings"
)

// lint warns about valid settings that are probably mistakes. It requires a
// document without faults.
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
	c.eachRoute(func(src *source, pointer string, r *Route) { c.lintRoute(src, pointer, r, byPrefix) })
}

// lintRoute warns about the settings of one route. It ignores the hosts of
// routes and Route.TargetMs.
func (c *compiler) lintRoute(src *source, pointer string, r *Route, byPrefix map[string]*Route) {
	if rank := c.doc.ranks[r.Rank]; rank.TargetMs > r.TimeoutMs {
		c.warnf(src, pointer+"/timeoutMs", WarnTargetOverTimeout, "calls time out after %d ms, before the target of rank %q (%d ms)", r.TimeoutMs, r.Rank, rank.TargetMs)
	}
	if !r.Idempotent && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		c.warnf(src, pointer+"/idempotent", WarnNonIdempotentRead, "%s calls of route %q need an idempotency key", r.Method, r.Name)
	}
	if other := byPrefix[r.PathPrefix+"/"]; other != nil && (other.Service != r.Service || other.Rank != r.Rank) {
		c.warnf(src, pointer+"/pathPrefix", WarnSimilarPrefix, "the route matches only %q itself; paths below it go to route %q", r.PathPrefix, other.Name)
	}
	if r.Method == "" && c.allMethodsRouted(r.PathPrefix) {
		c.warnf(src, pointer, WarnShadowedRoute, "other routes match every method of %q", r.PathPrefix)
	}
}

// allMethodsRouted reports whether the document has a route without a host for
// each known method of the path prefix.
func (c *compiler) allMethodsRouted(prefix string) bool {
	for method := range knownMethods {
		if _, ok := c.routeByMatch[method+" "+prefix]; !ok {
			return false
		}
	}
	return true
}

// lintUnused reports services, ranks and retry policies that no route names. It
// does not consider splits, so it also reports a service that only a split uses.
func (c *compiler) lintUnused() {
	services, ranks, retries := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, r := range c.doc.routes {
		services[r.Service], ranks[r.Rank], retries[r.Retry] = true, true, true
	}
	for _, src := range c.sources {
		for i, s := range src.body.Services {
			if !services[s.Name] {
				c.warnf(src, fmt.Sprintf("/services/%d", i), WarnUnusedService, "no route uses service %q", s.Name)
			}
		}
		for i, r := range src.body.Ranks {
			if !ranks[r.Name] {
				c.warnf(src, fmt.Sprintf("/ranks/%d", i), WarnUnusedRank, "no route uses rank %q; only calls that request it do", r.Name)
			}
		}
		for i, p := range src.body.Retries {
			if !retries[p.Name] {
				c.warnf(src, fmt.Sprintf("/retries/%d", i), WarnUnusedRetry, "no route uses retry policy %q", p.Name)
			}
		}
	}
}

// lintFloors reports floors that reserve less than one slot of some service. A
// service with announced slots counts as having none.
func (c *compiler) lintFloors() {
	for _, src := range c.sources {
		for i, r := range src.body.Ranks {
			var affected []string
			for _, s := range c.doc.Services() {
				if r.Floor > 0 && r.Floor*float64(s.Slots) < 1 {
					affected = append(affected, s.Name)
				}
			}
			if len(affected) > 0 {
				c.warnf(src, fmt.Sprintf("/ranks/%d/floor", i), WarnFloorBelowSlot, "floor %g of rank %q is less than one slot of %.200s",
					r.Floor, r.Name, strings.Join(affected, ", "))
			}
		}
	}
}
