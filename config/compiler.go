package config

import (
	"fmt"
)

// compiler collects the declarations and the faults of all sections.
type compiler struct {
	doc    *Document
	report Report
	// maxFaults is the number of faults kept; further ones are only counted.
	maxFaults int
	sources   []*source
	// parseFailed is set if a section is too large or could not be parsed.
	// References are not checked then, because that section may declare their
	// targets.
	parseFailed bool
	// declaredIn maps "kind/name" to the section that declares it.
	declaredIn  map[string]string
	rankByOrder map[int]string
	// routeByMatch maps "method host prefix", without the method or host that a
	// route leaves empty, to the name of the route.
	routeByMatch map[string]string
	floorSum     float64
	// floorSumReported limits the fault about floorSum to the first rank whose
	// floor raises it above 1.
	floorSumReported bool
}

func newCompiler(maxFaults int) *compiler {
	return &compiler{
		maxFaults: maxFaults,
		doc: &Document{
			ranks:         map[string]*Rank{},
			services:      map[string]*Service{},
			retryPolicies: map[string]*RetryPolicy{},
		},
		declaredIn:   map[string]string{},
		rankByOrder:  map[int]string{},
		routeByMatch: map[string]string{},
	}
}

func (c *compiler) addFault(f Fault) {
	if len(c.report.Faults) >= c.maxFaults {
		c.report.OmittedFaults++
		return
	}
	c.report.Faults = append(c.report.Faults, f)
}

// faultf adds a fault at a value of a section, unless the value already has a
// fault from decoding.
func (c *compiler) faultf(src *source, pointer, rule, format string, args ...any) {
	if src.hasDecodeFault[pointer] {
		return
	}
	c.addFault(Fault{Section: src.section.Name, Line: src.line(pointer), Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

func (c *compiler) warnf(src *source, pointer, rule, format string, args ...any) {
	if len(c.report.Warnings) >= MaxFaults {
		return
	}
	c.report.Warnings = append(c.report.Warnings,
		Fault{Section: src.section.Name, Line: src.line(pointer), Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

// checkSize adds a fault if the document is empty and for each size limit that
// it exceeds. It returns false if it added a fault; the caller then does not
// decode the sections.
func (c *compiler) checkSize(sections []Section) bool {
	if len(sections) == 0 {
		c.addFault(Fault{Rule: RuleEmptyDocument, Detail: "the document has no sections"})
	}
	if len(sections) > MaxSections {
		c.addFault(Fault{Rule: RuleSectionCount, Detail: fmt.Sprintf("%d sections, at most %d", len(sections), MaxSections)})
	}
	total := 0
	for _, s := range sections {
		total += len(s.Raw)
	}
	if total > MaxDocumentBytes {
		c.addFault(Fault{Rule: RuleDocumentSize, Detail: fmt.Sprintf("%d bytes in all sections, at most %d", total, MaxDocumentBytes)})
	}
	return len(c.report.Faults) == 0
}

// declare records the name of a rank, service, route or retry policy. It returns
// false and adds a fault if the name is missing or already declared; a malformed
// name only adds a fault.
func (c *compiler) declare(src *source, pointer, kind, name string) bool {
	if name == "" {
		c.faultf(src, pointer+"/name", RuleNameRequired, "%s without a name", kind)
		return false
	}
	if !validName(name) {
		c.faultf(src, pointer+"/name", RuleNameForm, "invalid %s name %.80q: want at most %d letters, digits, '-', '_' and '.', with a letter or digit first", kind, name, MaxNameBytes)
	}
	key := kind + "/" + name
	if first, ok := c.declaredIn[key]; ok {
		c.faultf(src, pointer+"/name", RuleDuplicateName, "%s %q is already declared in section %q", kind, name, first)
		return false
	}
	c.declaredIn[key] = src.section.Name
	return true
}

func (c *compiler) addSection(s Section) {
	src, faults := parseSource(s)
	for _, f := range faults {
		c.addFault(f)
	}
	if src == nil {
		c.parseFailed = true
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
		c.addRetryPolicy(src, fmt.Sprintf("/retries/%d", i), &src.body.Retries[i])
	}
	for i := range src.body.Routes {
		c.addRoute(src, fmt.Sprintf("/routes/%d", i), &src.body.Routes[i])
	}
	if src.body.Callers != nil {
		c.doc.callerLimits = *src.body.Callers
	}
}

// checkHeader compares the section name and owner in the text with those in the
// manifest, so that a team cannot publish a section under another team's name.
func (c *compiler) checkHeader(src *source) {
	s := src.section
	if src.body.Section != s.Name {
		c.faultf(src, "/section", RuleSectionName, "section is %.80q in the text, but %.80q in the manifest", src.body.Section, s.Name)
	}
	if src.body.Owner != s.Owner {
		c.faultf(src, "/owner", RuleSectionOwner, "owner is %.80q in the text, but %.80q in the manifest", src.body.Owner, s.Owner)
	}
	if s.Owner == "" {
		c.faultf(src, "/owner", RuleOwnerRequired, "the section has no owner")
	} else if !validName(s.Owner) {
		c.faultf(src, "/owner", RuleNameForm, "invalid owner %.80q", s.Owner)
	}
	switch first, ok := c.declaredIn["section/"+s.Name]; {
	case s.Name == "":
		c.faultf(src, "/section", RuleNameRequired, "section without a name")
	case ok:
		c.faultf(src, "/section", RuleDuplicateName, "section %q appears more than once", first)
	case !validName(s.Name):
		c.faultf(src, "/section", RuleNameForm, "invalid section name %.80q", s.Name)
	}
	c.declaredIn["section/"+s.Name] = s.Name
}
