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
	// hasDecodeFault holds the pointers of values with a fault from decoding.
	// They get no second fault, because body may hold zero instead of the value
	// in the text.
	hasDecodeFault map[string]bool
}

// parseSource decodes one section. It returns a nil source if the text is too
// large or cannot be parsed.
func parseSource(s Section) (*source, []Fault) {
	if len(s.Raw) > MaxSectionBytes {
		return nil, []Fault{{Section: s.Name, Rule: RuleSectionSize, Detail: fmt.Sprintf("%d bytes, at most %d", len(s.Raw), MaxSectionBytes)}}
	}
	src := &source{section: s, hasDecodeFault: map[string]bool{}}
	text, problems := strictjson.Decode(s.Raw, &src.body)
	faults := make([]Fault, 0, len(problems))
	for _, p := range problems {
		src.hasDecodeFault[p.Pointer] = true
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
