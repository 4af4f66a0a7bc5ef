package config

import (
	"fmt"

	"github.com/filbertpier/filbertpier/internal/strictjson"
)

// source is a section's text with its decoded body and the positions of its
// values.
type source struct {
	section Section
	body    SectionBody
	text    *strictjson.Source
	// broken holds the pointers of values that could not be decoded. They are
	// zero in body; a second fault about the zero would mislead.
	broken map[string]bool
}

// parseSource decodes one section. The source is nil if nothing could be
// decoded.
func parseSource(s Section) (*source, []Fault) {
	if len(s.Raw) > MaxSectionBytes {
		return nil, []Fault{{Section: s.Name, Rule: RuleSectionSize, Detail: fmt.Sprintf("%d bytes, at most %d", len(s.Raw), MaxSectionBytes)}}
	}
	src := &source{section: s, broken: map[string]bool{}}
	text, problems := strictjson.Decode(s.Raw, &src.body)
	faults := make([]Fault, 0, len(problems))
	for _, p := range problems {
		src.broken[p.Pointer] = true
		faults = append(faults, Fault{Section: s.Name, Line: p.Line, Rule: string(p.Rule), Detail: p.Detail})
	}
	if text == nil {
		return nil, faults
	}
	src.text = text
	return src, faults
}

// line returns the line of a value, or 0 for a source without text.
func (s *source) line(pointer string) int {
	if s.text == nil {
		return 0
	}
	return s.text.Line(pointer)
}
