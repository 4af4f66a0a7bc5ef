package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/tailscale/hujson"
)

// source is a section's text with its decoded body.
type source struct {
	section Section
	body    SectionBody
}

// parseSource decodes one section. Unknown fields are faults: a misspelt field
// would otherwise be ignored.
func parseSource(s Section) (*source, []Fault) {
	if len(s.Raw) > MaxSectionBytes {
		return nil, []Fault{{Section: s.Name, Rule: "section-size", Detail: fmt.Sprintf("%d bytes, at most %d", len(s.Raw), MaxSectionBytes)}}
	}
	// Standardize overwrites comments in its argument.
	std, err := hujson.Standardize(bytes.Clone(s.Raw))
	if err != nil {
		return nil, []Fault{{Section: s.Name, Line: 1, Rule: "syntax", Detail: err.Error()}}
	}
	src := &source{section: s}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&src.body); err != nil {
		return nil, []Fault{{Section: s.Name, Line: lineAt(s.Raw, int(dec.InputOffset())), Rule: "schema", Detail: err.Error()}}
	}
	return src, nil
}

// line returns the line of the value at a JSON pointer, or 1. It parses the text
// again: positions are needed for faults only, and keeping them costs several
// times the text.
func (s *source) line(pointer string) int {
	tree, err := hujson.Parse(s.section.Raw)
	if err != nil {
		return 1
	}
	v := tree.Find(pointer)
	if v == nil {
		return 1
	}
	return lineAt(s.section.Raw, v.StartOffset)
}

func lineAt(raw []byte, offset int) int {
	if offset > len(raw) {
		offset = len(raw)
	}
	return 1 + bytes.Count(raw[:offset], []byte{'\n'})
}
