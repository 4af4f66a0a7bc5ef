package strictjson

import (
	"bytes"
	"reflect"
	"sort"

	"github.com/tailscale/hujson"
)

// Source is a parsed text with the positions of its values. It is immutable
// and safe for concurrent use.
type Source struct {
	tree hujson.Value
	// lineStarts holds the offset at which each line begins.
	lineStarts []int
}

// Decode parses raw and stores its values in the struct that into points to.
// It returns a nil Source if the text cannot be parsed. A value of the wrong
// type leaves its field unchanged, and of a repeated field only the first value
// is decoded; all others are stored, so that callers can check them. The struct
// may hold structs, slices, strings, booleans and numbers, but no pointers.
func Decode(raw []byte, into any) (*Source, []Problem) {
	tree, problem := Parse(raw)
	if problem != nil {
		return nil, []Problem{*problem}
	}
	src := &Source{tree: tree, lineStarts: lineStarts(raw)}
	d := &decoder{src: src}
	d.decodeValue(&tree, reflect.ValueOf(into).Elem(), "")
	return src, d.problems
}

// Parse parses raw. It first refuses text nested deeper than maxDepth, because
// the parser recurses once per level.
func Parse(raw []byte) (hujson.Value, *Problem) {
	if offset := excessNestingOffset(raw); offset >= 0 {
		return hujson.Value{}, &Problem{Line: 1 + bytes.Count(raw[:offset], []byte("\n")), Rule: RuleNesting, Detail: "values are nested too deeply"}
	}
	tree, err := hujson.Parse(raw)
	if err != nil {
		return hujson.Value{}, &Problem{Line: errorLine(err), Rule: RuleSyntax, Detail: err.Error()}
	}
	return tree, nil
}

// Line returns the line of the value at a JSON pointer, or of its nearest
// enclosing value that is present.
func (s *Source) Line(pointer string) int {
	for {
		if v := s.tree.Find(pointer); v != nil {
			return s.lineAt(v.StartOffset)
		}
		if pointer == "" {
			return 1
		}
		pointer = parentPointer(pointer)
	}
}

// lineAt returns the line, counted from 1, of a byte offset.
func (s *Source) lineAt(offset int) int {
	return sort.SearchInts(s.lineStarts, offset+1)
}

func lineStarts(raw []byte) []int {
	starts := []int{0}
	for i, c := range raw {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}
