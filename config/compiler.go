package config

import (
	"fmt"
)

// compiler collects the declarations and the faults of all sections.
type compiler struct {
	doc    *Document
	report Report
	// maxFaults bounds the faults kept.
	maxFaults int
	sources   []*source
	// unread is set if a section could not be decoded. References to what it
	// declares cannot be checked then.
	unread  bool
	names   map[string]string
	orders  map[int]string
	matches map[string]string
	floors  float64
	// floorsOver is set once the sum of floors has been reported.
	floorsOver bool
}

func newCompiler(maxFaults int) *compiler {
	return &compiler{
		maxFaults: maxFaults,
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

func (c *compiler) add(f Fault) {
	if len(c.report.Faults) >= c.maxFaults {
		c.report.OmittedFaults++
		return
	}
	c.report.Faults = append(c.report.Faults, f)
}

// fault reports a value of a section, unless it was already reported as
// undecodable.
func (c *compiler) fault(src *source, pointer, rule, format string, args ...any) {
	if src.broken[pointer] {
		return
	}
	c.add(Fault{Section: src.section.Name, Line: src.line(pointer), Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

func (c *compiler) warn(src *source, pointer, rule, format string, args ...any) {
	if len(c.report.Warnings) >= MaxFaults {
		return
	}
	c.report.Warnings = append(c.report.Warnings,
		Fault{Section: src.section.Name, Line: src.line(pointer), Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

// checkSize reports whether the document is small enough to be decoded.
func (c *compiler) checkSize(sections []Section) bool {
	if len(sections) == 0 {
		c.add(Fault{Rule: RuleEmptyDocument, Detail: "the document has no sections"})
	}
	if len(sections) > MaxSections {
		c.add(Fault{Rule: RuleSectionCount, Detail: fmt.Sprintf("%d sections, at most %d", len(sections), MaxSections)})
	}
	total := 0
	for _, s := range sections {
		total += len(s.Raw)
	}
	if total > MaxDocumentBytes {
		c.add(Fault{Rule: RuleDocumentSize, Detail: fmt.Sprintf("%d bytes in all sections, at most %d", total, MaxDocumentBytes)})
	}
	return len(c.report.Faults) == 0
}

// declare records a name of one kind and reports a second declaration.
func (c *compiler) declare(src *source, pointer, kind, name string) bool {
	if name == "" {
		c.fault(src, pointer+"/name", RuleNameRequired, "%s without a name", kind)
		return false
	}
	if !validName(name) {
		c.fault(src, pointer+"/name", RuleNameForm, "%s %.80q: want at most %d letters, digits, '-', '_' and '.', with a letter or digit first", kind, name, MaxNameBytes)
	}
	key := kind + "/" + name
	if first, ok := c.names[key]; ok {
		c.fault(src, pointer+"/name", RuleDuplicateName, "%s %q is already declared in section %q", kind, name, first)
		return false
	}
	c.names[key] = src.section.Name
	return true
}

func (c *compiler) addSection(s Section) {
	src, faults := parseSource(s)
	for _, f := range faults {
		c.add(f)
	}
	if src == nil {
		c.unread = true
		return
	}
	c.addSource(src)
}

// finish completes the document if it has no faults and sorts the report.
func (c *compiler) finish(warn bool) {
	if len(c.report.Faults) == 0 {
		c.doc.sortRoutes()
		c.doc.sortRanks()
		c.doc.index = newRouteIndex(c.doc.routes)
		if warn {
			c.lint()
		}
		c.report.Document = c.doc
	}
	c.report.sort()
}

func (c *compiler) addSource(src *source) {
	c.sources = append(c.sources, src)
	c.checkHeader(src)
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
	if src.body.Callers != nil {
		c.doc.callers = *src.body.Callers
	}
}

// checkHeader compares what the text says about itself with the manifest, so
// that a team cannot publish a section under another team's name.
func (c *compiler) checkHeader(src *source) {
	s := src.section
	if src.body.Section != s.Name {
		c.fault(src, "/section", RuleSectionName, "the text names section %.80q, the manifest %.80q", src.body.Section, s.Name)
	}
	if src.body.Owner != s.Owner {
		c.fault(src, "/owner", RuleSectionOwner, "the text names owner %.80q, the manifest %.80q", src.body.Owner, s.Owner)
	}
	if s.Owner == "" {
		c.fault(src, "/owner", RuleOwnerRequired, "the section has no owner")
	} else if !validName(s.Owner) {
		c.fault(src, "/owner", RuleNameForm, "owner %.80q", s.Owner)
	}
	switch first, ok := c.names["section/"+s.Name]; {
	case s.Name == "":
		c.fault(src, "/section", RuleNameRequired, "section without a name")
	case ok:
		c.fault(src, "/section", RuleDuplicateName, "section %q appears twice", first)
	case !validName(s.Name):
		c.fault(src, "/section", RuleNameForm, "section %.80q", s.Name)
	}
	c.names["section/"+s.Name] = s.Name
}
