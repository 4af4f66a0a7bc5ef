package config

import (
	"net/http"
	"path"
	"regexp"
	"strings"
)

// floorTolerance absorbs rounding: floors such as 0.7, 0.2 and 0.1 need not
// add up to exactly 1 in binary.
const floorTolerance = 1e-9

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

func validName(name string) bool { return len(name) <= MaxNameBytes && namePattern.MatchString(name) }

var knownMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true, http.MethodPut: true,
	http.MethodPatch: true, http.MethodDelete: true, http.MethodOptions: true,
}

func (c *compiler) addRank(src *source, at string, r *Rank) {
	declared := c.declare(src, at, "rank", r.Name)
	if declared {
		c.doc.ranks[r.Name] = r
	}
	first, used := c.orders[r.Order]
	switch {
	case r.Order < 0:
		c.fault(src, at+"/order", RuleNonNegative, "order is %d", r.Order)
	case used:
		c.fault(src, at+"/order", RuleRankOrder, "order %d is already used by rank %q", r.Order, first)
	}
	c.orders[r.Order] = r.Name
	if r.TargetMs <= 0 || r.TargetMs > MaxTargetMs {
		c.fault(src, at+"/targetMs", RuleRange, "targetMs is %d, want 1 to %d", r.TargetMs, MaxTargetMs)
	}
	if r.Worth <= 0 {
		c.fault(src, at+"/worth", RulePositive, "worth is %g", r.Worth)
	}
	if r.Floor < 0 || r.Floor >= 1 {
		c.fault(src, at+"/floor", RuleShare, "floor is %g, want 0 to below 1", r.Floor)
		return
	}
	if !declared {
		return
	}
	c.floors += r.Floor
	if c.floors > 1+floorTolerance && !c.floorsOver {
		c.floorsOver = true
		c.fault(src, at+"/floor", RuleFloorsSum, "with rank %q the floors add up to %.3f, at most 1", r.Name, c.floors)
	}
}

func (c *compiler) addService(src *source, at string, s *Service) {
	if c.declare(src, at, "service", s.Name) {
		c.doc.services[s.Name] = s
	}
	switch {
	case s.Selector == "":
		c.fault(src, at+"/selector", RuleSelectorRequired, "service %q selects no VMs", s.Name)
	case !validName(s.Selector):
		c.fault(src, at+"/selector", RuleNameForm, "selector %.80q", s.Selector)
	}
	if s.SlotsAnnounced && s.Slots != 0 {
		c.fault(src, at+"/slots", RuleRange, "slots is %d, but the upstreams announce theirs", s.Slots)
	}
	if !s.SlotsAnnounced && (s.Slots <= 0 || s.Slots > MaxSlots) {
		c.fault(src, at+"/slots", RuleRange, "slots is %d, want 1 to %d", s.Slots, MaxSlots)
	}
	switch {
	case s.Connections <= 0 || s.Connections > MaxConnections:
		c.fault(src, at+"/connections", RuleRange, "connections is %d, want 1 to %d", s.Connections, MaxConnections)
	case s.Connections < s.Slots:
		c.fault(src, at+"/connections", RuleConnections, "%d connections cannot carry %d slots", s.Connections, s.Slots)
	}
}

func (c *compiler) addRetry(src *source, at string, p *RetryPolicy) {
	if c.declare(src, at, "retry policy", p.Name) {
		c.doc.retries[p.Name] = p
	}
	if p.MaxAttempts < 1 || p.MaxAttempts > MaxAttempts {
		c.fault(src, at+"/maxAttempts", RuleAttempts, "maxAttempts is %d, want 1 to %d", p.MaxAttempts, MaxAttempts)
	}
	if p.BudgetRatio < 0 || p.BudgetRatio > 1 {
		c.fault(src, at+"/budgetRatio", RuleShare, "budgetRatio is %g, want 0 to 1", p.BudgetRatio)
	}
	if p.BackoffMs < 0 || p.BackoffMs > MaxBackoffMs {
		c.fault(src, at+"/backoffMs", RuleRange, "backoffMs is %d, want 0 to %d", p.BackoffMs, MaxBackoffMs)
	}
}

func (c *compiler) addRoute(src *source, at string, r *Route) {
	if c.declare(src, at, "route", r.Name) {
		c.doc.routes = append(c.doc.routes, r)
	}
	if r.TimeoutMs <= 0 || r.TimeoutMs > MaxTimeoutMs {
		c.fault(src, at+"/timeoutMs", RuleTimeout, "timeoutMs is %d, want 1 to %d", r.TimeoutMs, MaxTimeoutMs)
	}
	if r.Method != "" && !knownMethods[r.Method] {
		c.fault(src, at+"/method", RuleMethod, "unknown method %.40q", r.Method)
	}
	if !validPrefix(r.PathPrefix) {
		c.fault(src, at+"/pathPrefix", RulePathPrefix, "%.80q is not a clean absolute path", r.PathPrefix)
		return
	}
	if matchesPrefix(r.PathPrefix, ReservedPrefix) {
		c.fault(src, at+"/pathPrefix", RuleReservedPath, "nodes answer %s themselves; the route is never reached", ReservedPrefix)
	}
	match := strings.TrimSpace(r.Method+" "+r.Host) + " " + r.PathPrefix
	if first, ok := c.matches[match]; ok {
		c.fault(src, at+"/pathPrefix", RuleDuplicateMatch, "route %q already matches %s; this one is never reached", first, strings.TrimSpace(match))
		return
	}
	c.matches[match] = r.Name
}

// validPrefix accepts paths that a request path can begin with: absolute,
// cleaned, without a query. One slash at the end is allowed.
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
