package strictjson_test

import (
	"testing"

	"github.com/filbertpier/filbertpier/internal/strictjson"
)

type inner struct {
	N int     `json:"n"`
	F float64 `json:"f"`
}

type outer struct {
	Name  string   `json:"name"`
	On    bool     `json:"on"`
	Count uint64   `json:"count"`
	Items []inner  `json:"items"`
	Words []string `json:"words"`
}

// Guards against a decoder that stops at the first problem, reports the wrong
// line, or drops valid values.
func TestDecodeReportsEveryProblemWithItsLine(t *testing.T) {
	raw := "{ // comment\n\"name\": \"a\",\n\"Name\": \"b\",\n\"name\": \"c\",\n\"on\": 1,\n\"count\": -1,\n" +
		"\"items\": [{\"n\": \"5s\"},\n {\"n\": 2, \"f\": null}],\n\"words\": {},\n}"
	var got outer
	src, problems := strictjson.Decode([]byte(raw), &got)
	want := []struct {
		line int
		rule strictjson.Rule
	}{
		{3, strictjson.RuleUnknownField}, {4, strictjson.RuleDuplicateField}, {5, strictjson.RuleWrongType}, {6, strictjson.RuleWrongType},
		{7, strictjson.RuleWrongType}, {8, strictjson.RuleWrongType}, {9, strictjson.RuleWrongType},
	}
	if len(problems) != len(want) {
		t.Fatalf("got %d problems, want %d: %+v", len(problems), len(want), problems)
	}
	for i, w := range want {
		if problems[i].Line != w.line || problems[i].Rule != w.rule {
			t.Errorf("problem %d: got %+v, want line %d rule %s", i, problems[i], w.line, w.rule)
		}
	}
	if got.Name != "a" || len(got.Items) != 2 || got.Items[1].N != 2 {
		t.Errorf("valid values were not stored: %+v", got)
	}
	if line := src.Line("/items/1/missing"); line != 8 {
		t.Errorf("missing value: got line %d, want its parent's line 8", line)
	}
}

// Guards against a stack overflow on deeply nested text, and against a wrong
// line number for text that is not valid JSON.
func TestDecodeRefusesUnparsableText(t *testing.T) {
	deep := make([]byte, 1_000_000)
	for i := range deep {
		deep[i] = '['
	}
	cases := []struct {
		raw  string
		rule strictjson.Rule
		line int
	}{
		{string(deep), strictjson.RuleNesting, 1},
		{"", strictjson.RuleSyntax, 1},
		{"{\n\"name\": }", strictjson.RuleSyntax, 2},
		{"{}\n{}", strictjson.RuleSyntax, 2},
		{"/* [[[ */ {\"name\": \"[[[\\\"[[\" // [[[\n, \"on\"}", strictjson.RuleSyntax, 2},
	}
	for _, c := range cases {
		src, problems := strictjson.Decode([]byte(c.raw), &outer{})
		if src != nil || len(problems) != 1 || problems[0].Rule != c.rule || problems[0].Line != c.line {
			t.Errorf("%.20q: got %+v, want rule %s on line %d", c.raw, problems, c.rule, c.line)
		}
	}
}
