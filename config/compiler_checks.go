package config

import (
	"fmt"
	"net/http"
	"path"
	"regexp"
	"slices"
	"strings"
)

// floorTolerance allows for rounding: floors such as 0.7, 0.2 and 0.1 may not
// add up to exactly 1 in floating point.
const floorTolerance = 1e-9

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

func validName(name string) bool { return len(name) <= MaxNameBytes && namePattern.MatchString(name) }

var knownMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true, http.MethodPut: true,
	http.MethodPatch: true, http.MethodDelete: true, http.MethodOptions: true,
}

func (c *compiler) addRank(src *source, pointer string, r *Rank) {
	declared := c.declare(src, pointer, "rank", r.Name)
	if declared {
		c.doc.ranks[r.Name] = r
	}
	first, used := c.rankByOrder[r.Order]
	switch {
	case r.Order < 0:
		c.faultf(src, pointer+"/order", RuleNonNegative, "order is %d, want 0 or more", r.Order)
	case used:
		c.faultf(src, pointer+"/order", RuleRankOrder, "order %d is already used by rank %q", r.Order, first)
	}
	c.rankByOrder[r.Order] = r.Name
	if r.TargetMs <= 0 || r.TargetMs > MaxTargetMs {
		c.faultf(src, pointer+"/targetMs", RuleRange, "targetMs is %d, want 1 to %d", r.TargetMs, MaxTargetMs)
	}
	if r.Worth <= 0 {
		c.faultf(src, pointer+"/worth", RulePositive, "worth is %g, want more than 0", r.Worth)
	}
	if r.Floor < 0 || r.Floor >= 1 {
		c.faultf(src, pointer+"/floor", RuleShare, "floor is %g, want at least 0 and less than 1", r.Floor)
		return
	}
	if !declared {
		return
	}
	c.floorSum += r.Floor
	if c.floorSum > 1+floorTolerance && !c.floorSumReported {
		c.floorSumReported = true
		c.faultf(src, pointer+"/floor", RuleFloorsSum, "the floors of rank %q and the ranks before it add up to %.3f, want at most 1", r.Name, c.floorSum)
	}
}

func (c *compiler) addService(src *source, pointer string, s *Service) {
	if c.declare(src, pointer, "service", s.Name) {
		c.doc.services[s.Name] = s
	}
	switch {
	case s.Selector == "":
		c.faultf(src, pointer+"/selector", RuleSelectorRequired, "service %q selects no VMs", s.Name)
	case !validName(s.Selector):
		c.faultf(src, pointer+"/selector", RuleNameForm, "invalid selector %.80q", s.Selector)
	}
	if s.SlotsAnnounced && s.Slots != 0 {
		c.faultf(src, pointer+"/slots", RuleRange, "slots is %d, want 0 because the upstreams announce their slots", s.Slots)
	}
	if !s.SlotsAnnounced && (s.Slots <= 0 || s.Slots > MaxSlots) {
		c.faultf(src, pointer+"/slots", RuleRange, "slots is %d, want 1 to %d", s.Slots, MaxSlots)
	}
	switch {
	case s.Connections <= 0 || s.Connections > MaxConnections:
		c.faultf(src, pointer+"/connections", RuleRange, "connections is %d, want 1 to %d", s.Connections, MaxConnections)
	case s.Connections < s.Slots:
		c.faultf(src, pointer+"/connections", RuleConnections, "connections is %d, want at least the %d slots", s.Connections, s.Slots)
	}
	if s.ColdCallsPerSecond < 0 {
		c.faultf(src, pointer+"/coldCallsPerSecond", RuleNonNegative, "coldCallsPerSecond is %g, want 0 or more", s.ColdCallsPerSecond)
	}
	if s.ColdStartMs < 0 || s.ColdStartMs > MaxColdStartMs {
		c.faultf(src, pointer+"/coldStartMs", RuleRange, "coldStartMs is %d, want 0 to %d", s.ColdStartMs, MaxColdStartMs)
	}
}

func (c *compiler) addRetryPolicy(src *source, pointer string, p *RetryPolicy) {
	if c.declare(src, pointer, "retry policy", p.Name) {
		c.doc.retryPolicies[p.Name] = p
	}
	if p.MaxAttempts < 1 || p.MaxAttempts > MaxAttempts {
		c.faultf(src, pointer+"/maxAttempts", RuleAttempts, "maxAttempts is %d, want 1 to %d", p.MaxAttempts, MaxAttempts)
	}
	if p.BudgetRatio < 0 || p.BudgetRatio > 1 {
		c.faultf(src, pointer+"/budgetRatio", RuleShare, "budgetRatio is %g, want 0 to 1", p.BudgetRatio)
	}
	if p.BackoffMs < 0 || p.BackoffMs > MaxBackoffMs {
		c.faultf(src, pointer+"/backoffMs", RuleRange, "backoffMs is %d, want 0 to %d", p.BackoffMs, MaxBackoffMs)
	}
}

func (c *compiler) addRoute(src *source, pointer string, r *Route) {
	if c.declare(src, pointer, "route", r.Name) {
		c.doc.routes = append(c.doc.routes, r)
	}
	if r.TimeoutMs <= 0 || r.TimeoutMs > MaxTimeoutMs {
		c.faultf(src, pointer+"/timeoutMs", RuleTimeout, "timeoutMs is %d, want 1 to %d", r.TimeoutMs, MaxTimeoutMs)
	}
	if r.Method != "" && !knownMethods[r.Method] {
		c.faultf(src, pointer+"/method", RuleMethod, "unknown method %.40q", r.Method)
	}
	c.checkRegions(src, pointer, r.AllowedRegions)
	if !validPrefix(r.PathPrefix) {
		c.faultf(src, pointer+"/pathPrefix", RulePathPrefix, "invalid path prefix %.80q: want a clean absolute path of at most 1024 bytes without query, fragment, backslashes, spaces or control characters", r.PathPrefix)
		return
	}
	if matchesPrefix(r.PathPrefix, ReservedPrefix) {
		c.faultf(src, pointer+"/pathPrefix", RuleReservedPath, "nodes serve %s themselves; no call reaches this route", ReservedPrefix)
	}
	match := strings.TrimSpace(r.Method+" "+r.Host) + " " + r.PathPrefix
	if first, ok := c.routeByMatch[match]; ok {
		c.faultf(src, pointer+"/pathPrefix", RuleDuplicateMatch, "route %q already matches %s; no call reaches this route", first, strings.TrimSpace(match))
		return
	}
	c.routeByMatch[match] = r.Name
}

// checkRegions checks that the allowed regions of a route are valid names and differ. A
// document does not list the regions of the fleet, so a region without VMs is no fault:
// the calls are refused.
func (c *compiler) checkRegions(src *source, pointer string, regions RegionSet) {
	for i, region := range regions {
		regionPointer := fmt.Sprintf("%s/allowedRegions/%d", pointer, i)
		switch {
		case !validName(region):
			c.faultf(src, regionPointer, RuleNameForm, "invalid region %.80q", region)
		case slices.Contains(regions[:i], region):
			c.faultf(src, regionPointer, RuleDuplicateRegion, "region %q is listed twice", region)
		}
	}
}

// validPrefix reports whether p is an absolute path that path.Clean leaves
// unchanged, apart from one trailing slash, of at most 1024 bytes and without
// query, fragment, backslashes, spaces, control characters and invalid UTF-8.
func validPrefix(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.ContainsAny(p, "?#\\ ") || len(p) > 1024 {
		return false
	}
	for _, c := range p {
		if c <= ' ' || c == 0x7f || c == '\uFFFD' {
			return false
		}
	}
	clean := path.Clean(p)
	return p == clean || p == clean+"/"
}
