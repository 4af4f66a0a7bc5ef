package config_test

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/filbertpier/filbertpier/config"
)

// base is a valid document without warnings. Each ruleCase changes a fragment of
// it.
const base = `{"section": "all", "owner": "team",
"ranks": [{"name": "urgent", "order": 0, "targetMs": 250, "worth": 10, "floor": 0.5}],
"services": [{"name": "recall", "selector": "recall", "slots": 6, "connections": 110}],
"retries": [{"name": "std", "maxAttempts": 3, "budgetRatio": 0.1, "backoffMs": 5}],
"routes": [{"name": "r1", "method": "POST", "pathPrefix": "/recall", "service": "recall", "rank": "urgent",
 "idempotent": true, "timeoutMs": 2000, "retry": "std"}]}`

func section(raw string) config.Section {
	return config.Section{Name: "all", Owner: "team", Raw: []byte(raw)}
}

// ruleCase replaces the fragment old of base and lists the faults or warnings
// that Check must then report, each as line and rule.
type ruleCase struct {
	name, old, replacement string
	want                   []string
}

var faultCases = []ruleCase{
	{"syntax", `"ranks": [`, `"ranks" [`, []string{"2 syntax"}},
	{"nesting", `"ranks": [`, `"ranks": ` + strings.Repeat("[", 40), []string{"2 nesting"}},
	{"unknown field", `"slots": 6`, `"Slots": 6, "slots": 6`, []string{"3 unknown-field"}},
	{"duplicate field", `"slots": 6`, `"slots": 6, "slots": 60`, []string{"3 duplicate-field"}},
	{"wrong type without a second fault", `"slots": 6`, `"slots": "6"`, []string{"3 wrong-type"}},
	{"section name", `"section": "all"`, `"section": "other"`, []string{"1 section-name"}},
	{"section owner", `"owner": "team"`, `"owner": "other"`, []string{"1 section-owner"}},
	{"no name", `"name": "recall", "selector"`, `"selector"`, []string{"3 name-required", "5 unknown-service"}},
	{"name form", `"name": "std"`, `"name": "a b"`, []string{"4 name-form", "6 unknown-retry"}},
	{"name length", `"name": "r1"`, `"name": "` + strings.Repeat("r", 65) + `"`, []string{"5 name-form"}},
	{"duplicate name", `"connections": 110}`, `"connections": 110}, {"name": "recall", "selector": "x", "slots": 0, "connections": 1}`,
		[]string{"3 duplicate-name", "3 range"}},
	{"no ranks", `{"name": "urgent", "order": 0, "targetMs": 250, "worth": 10, "floor": 0.5}`, ``, []string{"0 no-ranks", "5 unknown-rank"}},
	{"rank order", `"floor": 0.5}`, `"floor": 0.5}, {"name": "b", "order": 0, "targetMs": 1, "worth": 1}`, []string{"2 rank-order"}},
	{"negative order", `"order": 0`, `"order": -1`, []string{"2 non-negative"}},
	{"target", `"targetMs": 250`, `"targetMs": 0`, []string{"2 range"}},
	{"worth", `"worth": 10`, `"worth": 0`, []string{"2 positive"}},
	{"floor", `"floor": 0.5`, `"floor": 1`, []string{"2 share"}},
	{"sum of floors", `"floor": 0.5}`, "\"floor\": 0.5},\n{\"name\": \"b\", \"order\": 1, \"targetMs\": 1, \"worth\": 1, \"floor\": 0.51}", []string{"3 floors-sum"}},
	{"selector", `"selector": "recall"`, `"selector": ""`, []string{"3 selector-required"}},
	{"slots", `"slots": 6`, `"slots": 0`, []string{"3 range"}},
	{"cold calls", `"connections": 110`, `"connections": 110, "coldCallsPerSecond": -1`, []string{"3 non-negative"}},
	{"cold start", `"connections": 110`, `"connections": 110, "coldStartMs": 3600001`, []string{"3 range"}},
	{"region name", `"retry": "std"`, `"retry": "std", "allowedRegions": ["a", ""]`, []string{"6 name-form"}},
	{"same region twice", `"retry": "std"`, `"retry": "std", "allowedRegions": ["a", "b", "a"]`, []string{"6 duplicate-region"}},
	{"connections", `"connections": 110`, `"connections": 5`, []string{"3 connections"}},
	{"connections range", `"connections": 110`, `"connections": 70000`, []string{"3 range"}},
	{"attempts", `"maxAttempts": 3`, `"maxAttempts": 11`, []string{"4 attempts"}},
	{"budget", `"budgetRatio": 0.1`, `"budgetRatio": 1.1`, []string{"4 share"}},
	{"backoff", `"backoffMs": 5`, `"backoffMs": -5`, []string{"4 range"}},
	{"relative path", `"/recall"`, `"recall"`, []string{"5 path-prefix"}},
	{"unclean path", `"/recall"`, `"/a/../recall"`, []string{"5 path-prefix"}},
	{"query in path", `"/recall"`, `"/recall?a"`, []string{"5 path-prefix"}},
	{"reserved path", `"/recall"`, `"/.well-known/filbertpier/keys"`, []string{"5 reserved-path"}},
	{"timeout", `"timeoutMs": 2000`, `"timeoutMs": 600001`, []string{"6 timeout"}},
	{"method", `"POST"`, `"post"`, []string{"5 method"}},
	{"duplicate match", `"retry": "std"}`, "\"retry\": \"std\"},\n{\"name\": \"r2\", \"method\": \"POST\", \"pathPrefix\": \"/recall\", " +
		`"service": "recall", "rank": "urgent", "timeoutMs": 2000}`, []string{"7 duplicate-match"}},
	{"unknown service", `"service": "recall"`, `"service": "x"`, []string{"5 unknown-service"}},
	{"unknown rank", `"rank": "urgent"`, `"rank": "x"`, []string{"5 unknown-rank"}},
	{"unknown retry", `"retry": "std"`, `"retry": "x"`, []string{"6 unknown-retry"}},
	{"two faults of one rule", `"slots": 6, "connections": 110`, `"slots": -1, "connections": 0`, []string{"3 range", "3 range"}},
}

var warningCases = []ruleCase{
	{"valid document", "", "", nil},
	{"no routes", base[strings.Index(base, `"routes"`):], `"routes": []}`, []string{"0 no-routes", "2 unused-rank", "3 unused-service", "4 unused-retry"}},
	{"unused rank", `"floor": 0.5}`, `"floor": 0.5}, {"name": "b", "order": 1, "targetMs": 1, "worth": 1}`, []string{"2 unused-rank"}},
	{"unused service", `"connections": 110}`, `"connections": 110}, {"name": "b", "selector": "b", "slots": 6, "connections": 9}`, []string{"3 unused-service"}},
	{"unused retry", `, "retry": "std"`, ``, []string{"4 unused-retry"}},
	{"target over timeout", `"timeoutMs": 2000`, `"timeoutMs": 200`, []string{"6 target-over-timeout"}},
	{"floor below slot", `"floor": 0.5`, `"floor": 0.1`, []string{"2 floor-below-slot"}},
	{"GET that is not idempotent", `"POST", "pathPrefix": "/recall", "service": "recall", "rank": "urgent",
 "idempotent": true`, `"GET", "pathPrefix": "/recall", "service": "recall", "rank": "urgent",
 "idempotent": false`, []string{"6 non-idempotent-read"}},
	{"similar prefix", base[strings.Index(base, `"connections": 110}`):], similarRoutes, []string{"5 similar-prefix"}},
	{"shadowed route", `"retry": "std"}`, shadowingRoutes(), []string{"6 shadowed-route"}},
}

// similarRoutes replaces the end of base with two routes whose prefixes differ
// only by a trailing slash.
const similarRoutes = `"connections": 110}, {"name": "b", "selector": "b", "slots": 6, "connections": 9}],
"routes": [
{"name": "r1", "pathPrefix": "/recall", "service": "recall", "rank": "urgent", "idempotent": true, "timeoutMs": 2000},
{"name": "r2", "pathPrefix": "/recall/", "service": "b", "rank": "urgent", "idempotent": true, "timeoutMs": 2000}]}`

// shadowingRoutes adds a route for any method and one for each method but POST,
// which base already routes.
func shadowingRoutes() string {
	out := `"retry": "std"}`
	for i, method := range []string{"", "GET", "HEAD", "PUT", "PATCH", "DELETE", "OPTIONS"} {
		out += fmt.Sprintf(`, {"name": "m%d", "method": %q, "pathPrefix": "/recall", "service": "recall", "rank": "urgent", "idempotent": true, "timeoutMs": 2000}`, i, method)
	}
	return out
}

func linesAndRules(faults []config.Fault) []string {
	var out []string
	for _, f := range faults {
		out = append(out, fmt.Sprintf("%d %s", f.Line, f.Rule))
	}
	return out
}

func replaceFragment(t *testing.T, c ruleCase) []config.Section {
	t.Helper()
	if !strings.Contains(base, c.old) {
		t.Fatalf("%s: fragment %q is not in the base document", c.name, c.old)
	}
	return []config.Section{section(strings.Replace(base, c.old, c.replacement, 1))}
}

// Guards against rules that are not checked, that report the wrong line, or
// whose faults are suppressed by another fault.
func TestEveryFaultIsReportedWithItsLine(t *testing.T) {
	for _, c := range faultCases {
		r := config.Check(replaceFragment(t, c))
		if got := linesAndRules(r.Faults); !slices.Equal(got, c.want) || r.Document != nil {
			t.Errorf("%s: got %v, want %v", c.name, r.Faults, c.want)
		}
		var invalid *config.InvalidDocumentError
		if _, err := config.Compile(replaceFragment(t, c)); !errors.As(err, &invalid) || len(invalid.Faults) != len(c.want) {
			t.Errorf("%s: Compile returned %v, want the faults that Check reports", c.name, err)
		}
	}
}

// Guards against warnings that are not reported or that make a document invalid.
func TestWarningsLeaveTheDocumentValid(t *testing.T) {
	for _, c := range warningCases {
		r := config.Check(replaceFragment(t, c))
		if got := linesAndRules(r.Warnings); !slices.Equal(got, c.want) || r.Document == nil {
			t.Errorf("%s: got %v and faults %v, want %v", c.name, r.Warnings, r.Faults, c.want)
		}
	}
}

// Guards against missed faults that concern more than one section: the total
// size, section names, and declarations and references across sections.
func TestWholeDocumentRules(t *testing.T) {
	many := make([]config.Section, config.MaxSections+1)
	padding := strings.Repeat(" ", config.MaxSectionBytes-len(base))
	var large []config.Section
	for i := range 5 {
		large = append(large, config.Section{Name: "s" + strconv.Itoa(i), Owner: "team", Raw: []byte(base + padding)})
	}
	second := `{"section": "b", "owner": "team", "services": [{"name": "recall", "selector": "x", "slots": 1, "connections": 1}]}`
	cases := []struct {
		name     string
		sections []config.Section
		want     []string
	}{
		{"empty", nil, []string{"0 empty-document"}},
		{"too many sections", many, []string{"0 section-count"}},
		{"document too large", large, []string{"0 document-size"}},
		{"section too large", []config.Section{section(base + padding + " ")}, []string{"0 section-size"}},
		{"no owner", []config.Section{{Name: "all", Raw: []byte(strings.Replace(base, `"owner": "team",`, "", 1))}}, []string{"1 owner-required"}},
		{"same section twice", []config.Section{section(base), section(`{"section": "all", "owner": "team"}`)}, []string{"1 duplicate-name"}},
		{"duplicate across sections", []config.Section{section(base), {Name: "b", Owner: "team", Raw: []byte(second)}}, []string{"1 duplicate-name"}},
		{"no reference faults if a section cannot be parsed", []config.Section{section(strings.Replace(base, `"service": "recall"`, `"service": "x"`, 1)),
			{Name: "b", Owner: "team", Raw: []byte("{")}}, []string{"1 syntax"}},
	}
	for _, c := range cases {
		if got := linesAndRules(config.Check(c.sections).Faults); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against an invalid document whose many faults fill a node's memory and
// log.
func TestFaultsAreBounded(t *testing.T) {
	raw := `{"section": "all", "owner": "team", "ranks": [` + strings.Repeat("{},", 5000) + `]}`
	r := config.Check([]config.Section{section(raw)})
	if len(r.Faults) != config.MaxFaults || r.OmittedFaults == 0 {
		t.Fatalf("Check: got %d faults and %d omitted, want MaxFaults and some omitted", len(r.Faults), r.OmittedFaults)
	}
	var invalid *config.InvalidDocumentError
	if _, err := config.Compile([]config.Section{section(raw)}); !errors.As(err, &invalid) || len(invalid.Faults) != config.MaxCompileFaults ||
		invalid.Omitted != r.OmittedFaults+config.MaxFaults-config.MaxCompileFaults {
		t.Errorf("Compile: got %d faults and %d omitted, want MaxCompileFaults and all others omitted", len(invalid.Faults), invalid.Omitted)
	}
	if text := r.Err().Error(); len(text) > 10_000 || !strings.Contains(text, "more") {
		t.Errorf("error text of %d bytes is too long or does not count the omitted faults", len(text))
	}
}

// Guards against a rule without a test case or without documentation in
// docs/cli.md.
func TestEveryRuleHasACase(t *testing.T) {
	rulesFile, err := parser.ParseFile(token.NewFileSet(), "rules.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	testFile, err := parser.ParseFile(token.NewFileSet(), "check_test.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	cliPage, err := os.ReadFile("../docs/cli.md")
	if err != nil {
		t.Fatal(err)
	}
	var covered strings.Builder
	ast.Inspect(testFile, func(n ast.Node) bool {
		if lit, ok := n.(*ast.BasicLit); ok {
			covered.WriteString(lit.Value)
		}
		return true
	})
	ast.Inspect(rulesFile, func(n ast.Node) bool {
		if lit, ok := n.(*ast.BasicLit); ok {
			if rule, _ := strconv.Unquote(lit.Value); !strings.Contains(covered.String(), " "+rule+`"`) {
				t.Errorf("rule %q has no test case", rule)
			} else if !strings.Contains(string(cliPage), "`"+rule+"`") {
				t.Errorf("rule %q is not documented in docs/cli.md", rule)
			}
		}
		return true
	})
}

// Guards against a panic on arbitrary text, against faults with a line outside
// the text, and against a valid document with a route whose service or rank is
// not declared.
func FuzzCompile(f *testing.F) {
	f.Add([]byte(base))
	for _, c := range slices.Concat(faultCases, warningCases) {
		f.Add([]byte(strings.Replace(base, c.old, c.replacement, 1)))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := config.Check([]config.Section{section(string(raw))})
		if (r.Document == nil) == (len(r.Faults) == 0) {
			t.Fatalf("got document %v with faults %v, want exactly one of them", r.Document, r.Faults)
		}
		for _, fault := range r.Faults {
			if lines := strings.Count(string(raw), "\n") + 1; fault.Line < 0 || fault.Line > lines {
				t.Fatalf("fault with a line outside the text: %v", fault)
			}
		}
		if r.Document == nil {
			return
		}
		for _, route := range r.Document.Routes() {
			if _, ok := r.Document.Service(route.Service); !ok {
				t.Fatalf("route %q uses an undeclared service", route.Name)
			}
			if _, ok := r.Document.Rank(route.Rank); !ok {
				t.Fatalf("route %q uses an undeclared rank", route.Name)
			}
		}
	})
}
