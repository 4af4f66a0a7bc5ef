package config

import (
	"sort"
	"strings"
)

// Document is a compiled, valid configuration. It is immutable and safe for
// concurrent use.
type Document struct {
	ranks         map[string]*Rank
	services      map[string]*Service
	routes        []*Route
	retryPolicies map[string]*RetryPolicy
	ranksByOrder  []*Rank
	callerLimits  CallerLimits
	index         routeIndex
}

// Rank returns the rank with the given name, and whether it is declared.
func (d *Document) Rank(name string) (*Rank, bool) {
	r, ok := d.ranks[name]
	return r, ok
}

// Ranks returns all ranks, most urgent first. The caller must not modify the
// slice.
func (d *Document) Ranks() []*Rank { return d.ranksByOrder }

// Service returns the service with the given name, and whether it is declared.
func (d *Document) Service(name string) (*Service, bool) {
	s, ok := d.services[name]
	return s, ok
}

// Services returns all services sorted by name.
func (d *Document) Services() []*Service {
	out := make([]*Service, 0, len(d.services))
	for _, s := range d.services {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Routes returns all routes, longest path prefix first. The caller must not
// modify the slice.
func (d *Document) Routes() []*Route { return d.routes }

// RetryPolicy returns the retry policy with the given name, and whether it is
// declared.
func (d *Document) RetryPolicy(name string) (*RetryPolicy, bool) {
	p, ok := d.retryPolicies[name]
	return p, ok
}

// RetryPolicies returns all retry policies sorted by name.
func (d *Document) RetryPolicies() []*RetryPolicy {
	out := make([]*RetryPolicy, 0, len(d.retryPolicies))
	for _, p := range d.retryPolicies {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// CallerLimits returns the limits on callers' requests and connections.
func (d *Document) CallerLimits() CallerLimits { return d.callerLimits }

// MatchRoute returns the route of a call, considering only routes without a
// host.
func (d *Document) MatchRoute(method, path string) (*Route, bool) {
	return d.Match("", method, path)
}

// Match returns the route of a call to a host: the one with the longest matching
// path prefix among the routes for that host, or else among the routes without a
// host. With equal prefixes, a route for the method takes precedence over a
// route for any method.
func (d *Document) Match(host, method, path string) (*Route, bool) {
	return d.index.match(host, method, path)
}

// matchesPrefix reports whether prefix is the beginning of path and ends at a
// segment boundary.
func matchesPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

func (d *Document) sortRoutes() {
	sort.SliceStable(d.routes, func(i, j int) bool {
		a, b := d.routes[i], d.routes[j]
		if len(a.PathPrefix) != len(b.PathPrefix) {
			return len(a.PathPrefix) > len(b.PathPrefix)
		}
		if (a.Method == "") != (b.Method == "") {
			return a.Method != ""
		}
		return a.Name < b.Name
	})
}

func (d *Document) sortRanks() {
	for _, r := range d.ranks {
		d.ranksByOrder = append(d.ranksByOrder, r)
	}
	sort.Slice(d.ranksByOrder, func(i, j int) bool { return d.ranksByOrder[i].Order < d.ranksByOrder[j].Order })
}
