package settings

import (
	"cmp"
	"slices"

	"github.com/filbertpier/filbertpier/internal/strictjson"
)

// Parse decodes settings in JSON with comments, applies the defaults of their
// preset and validates them. It returns an *InvalidError with all faults.
func Parse(raw []byte) (*Node, error) {
	var n Node
	src, problems := strictjson.Decode(raw, &n)
	c := &checker{src: src, undecodable: map[string]bool{}}
	for _, p := range problems {
		c.undecodable[p.Pointer] = true
		c.faults = append(c.faults, Fault{Field: p.Pointer, Line: p.Line, Rule: Rule(p.Rule), Detail: p.Detail, Remedy: remedies[Rule(p.Rule)]})
	}
	if src != nil {
		n.applyPreset()
		c.check(&n)
	}
	if len(c.faults) > 0 {
		slices.SortStableFunc(c.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
		return nil, &InvalidError{Faults: c.faults}
	}
	return &n, nil
}
