package config

import (
	"fmt"
	"net/http"
	"strings"
)

// compiler collects the declarations and the faults of all sections.
type compiler struct {
	doc     *Document
	sources []*source
	names   map[string]string
	faults  []Fault
	orders  map[int]string
	matches map[string]string
	floors  float64
}

func newCompiler() *compiler {
	return &compiler{
		doc: &Document{
			ranks:    map[string]*Rank{},
			services: map[string]*Service{},
			retries:  map[string]*RetryPolicy{},
		},
		names:   map[string]string{},
		orders:  map[int]string{},
		matches: map[string]string{},
	}
}

func (c *compiler) fault(src *source, pointer, rule, format string, args ...any) {
	c.faults = append(c.faults, Fault{
		Section: src.section.Name,
		Line:    src.line(pointer),
		Rule:    rule,
		Detail:  fmt.Sprintf(format, args...),
	})
}

// declare records a name of one kind and reports a second declaration.
func (c *compiler) declare(src *source, pointer, kind, name string) bool {
	if name == "" {
		c.fault(src, pointer, "name-required", "%s without a name", kind)
		return false
	}
	key := kind + "/" + name
	if first, ok := c.names[key]; ok {
		c.fault(src, pointer, "duplicate-name", "%s %q is already declared in section %q", kind, name, first)
		return false
	}
	c.names[key] = src.section.Name
	return true
}

func (c *compiler) addSection(s Section) {
	src, faults := parseSource(s)
	if src == nil {
		c.faults = append(c.faults, faults...)
		return
	}
	c.sources = append(c.sources, src)
	if src.body.Section != s.Name {
		c.fault(src, "/section", "section-name", "the text names section %q, the manifest %q", src.body.Section, s.Name)
	}
	if src.body.Owner != s.Owner {
		c.fault(src, "/owner", "section-owner", "the text names owner %q, the manifest %q", src.body.Owner, s.Owner)
	}
	c.declare(src, "/section", "section", s.Name)
	for i := range src.body.Ranks {
		c.addRank(src, fmt.Sprintf("/ranks/%d", i), &src.body.Ranks[i])
	}
	for i := range src.body.Services {
		c.addService(src, fmt.Sprintf("/services/%d", i), &src.body.Services[i])
	}
	for i := range src.body.Retries {
		c.addRetry(src, fmt.Sprintf("/retries/%d", i), &src.body.Retries[i])
	}
	for i := range src.body.Routes {
		c.addRoute(src, fmt.Sprintf("/routes/%d", i), &src.body.Routes[i])
	}
}

func (c *compiler) addRank(src *source, at string, r *Rank) {
	if !c.declare(src, at, "rank", r.Name) {
		return
	}
	if first, ok := c.orders[r.Order]; ok {
		c.fault(src, at+"/order", "rank-order", "order %d is already used by rank %q", r.Order, first)
	}
	c.orders[r.Order] = r.Name
	if r.TargetMs <= 0 {
		c.fault(src, at+"/targetMs", "positive", "targetMs is %d", r.TargetMs)
	}
	if r.Worth <= 0 {
		c.fault(src, at+"/worth", "positive", "worth is %g", r.Worth)
	}
	if r.Floor < 0 || r.Floor >= 1 {
		c.fault(src, at+"/floor", "share", "floor is %g, want 0 to below 1", r.Floor)
	}
	c.floors += r.Floor
	if c.floors > 1 {
		c.fault(src, at+"/floor", "floors-sum", "the floors of all ranks add up to more than 1")
	}
	c.doc.ranks[r.Name] = r
}

func (c *compiler) addService(src *source, at string, s *Service) {
	if !c.declare(src, at, "service", s.Name) {
		return
	}
	if s.Selector == "" {
		c.fault(src, at, "selector-required", "service %q selects no VMs", s.Name)
	}
	if s.Slots <= 0 {
		c.fault(src, at+"/slots", "positive", "slots is %d", s.Slots)
	}
	if s.Connections < s.Slots {
		c.fault(src, at+"/connections", "connections", "%d connections cannot carry %d slots", s.Connections, s.Slots)
	}
	c.doc.services[s.Name] = s
}

func (c *compiler) addRetry(src *source, at string, p *RetryPolicy) {
	if !c.declare(src, at, "retry policy", p.Name) {
		return
	}
	if p.MaxAttempts < 1 || p.MaxAttempts > 10 {
		c.fault(src, at+"/maxAttempts", "attempts", "maxAttempts is %d, want 1 to 10", p.MaxAttempts)
	}
	if p.BudgetRatio < 0 || p.BudgetRatio > 1 {
		c.fault(src, at+"/budgetRatio", "share", "budgetRatio is %g, want 0 to 1", p.BudgetRatio)
	}
	if p.BackoffMs < 0 {
		c.fault(src, at+"/backoffMs", "non-negative", "backoffMs is %d", p.BackoffMs)
	}
	c.doc.retries[p.Name] = p
}

func (c *compiler) addRoute(src *source, at string, r *Route) {
	if !c.declare(src, at, "route", r.Name) {
		return
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		c.fault(src, at+"/pathPrefix", "path-prefix", "%q does not start with /", r.PathPrefix)
	}
	if r.TimeoutMs <= 0 || r.TimeoutMs > MaxTimeoutMs {
		c.fault(src, at+"/timeoutMs", "timeout", "timeoutMs is %d, want 1 to %d", r.TimeoutMs, MaxTimeoutMs)
	}
	if r.Method != "" && !knownMethods[r.Method] {
		c.fault(src, at+"/method", "method", "unknown method %q", r.Method)
	}
	match := r.Method + " " + r.PathPrefix
	if first, ok := c.matches[match]; ok {
		c.fault(src, at+"/pathPrefix", "duplicate-match", "route %q already matches %s", first, match)
	}
	c.matches[match] = r.Name
	c.doc.routes = append(c.doc.routes, r)
}

// checkReferences runs after all sections are known, so that the order of
// sections does not matter.
func (c *compiler) checkReferences() {
	for _, src := range c.sources {
		for i, r := range src.body.Routes {
			at := fmt.Sprintf("/routes/%d", i)
			if _, ok := c.doc.services[r.Service]; !ok {
				c.fault(src, at+"/service", "unknown-service", "route %q points at unknown service %q", r.Name, r.Service)
			}
			if _, ok := c.doc.ranks[r.Rank]; !ok {
				c.fault(src, at+"/rank", "unknown-rank", "route %q uses unknown rank %q", r.Name, r.Rank)
			}
			if _, ok := c.doc.retries[r.Retry]; r.Retry != "" && !ok {
				c.fault(src, at+"/retry", "unknown-retry", "route %q uses unknown retry policy %q", r.Name, r.Retry)
			}
		}
	}
}

var knownMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true, http.MethodPut: true,
	http.MethodPatch: true, http.MethodDelete: true, http.MethodOptions: true,
}
