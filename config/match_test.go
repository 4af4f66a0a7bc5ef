package config

import (
	"errors"
	"testing"
)

func compileRoutes(t *testing.T, routes ...Route) *Document {
	t.Helper()
	for i := range routes {
		routes[i].Rank, routes[i].TimeoutMs = "r", 1000
		routes[i].Service = "s"
	}
	d, err := CompileBody(SectionBody{
		Section: "main", Owner: "ops", Routes: routes,
		Ranks:    []Rank{{Name: "r", TargetMs: 100, Worth: 1}},
		Services: []Service{{Name: "s", Selector: "s", SlotsAnnounced: true, Connections: 10}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a call that matches a route of another host, or a route whose
// prefix is not the longest one that matches or ends within a path segment.
func TestMatchByHostAndLongestPrefix(t *testing.T) {
	d := compileRoutes(t,
		Route{Name: "a", Host: "one.example", PathPrefix: "/a/"},
		Route{Name: "ab", Host: "one.example", PathPrefix: "/a/b/"},
		Route{Name: "other", Host: "two.example", PathPrefix: "/a/"},
		Route{Name: "any", PathPrefix: "/c"},
	)
	for _, c := range []struct{ host, path, want string }{
		{"one.example", "/a/x", "a"},
		{"one.example", "/a/b/x/y", "ab"},
		{"one.example", "/a/bc", "a"},
		{"two.example", "/a/b/x", "other"},
		{"two.example", "/b", ""},
		{"three.example", "/a/x", ""},
		{"one.example", "/c/d", "any"},
		{"one.example", "/cd", ""},
	} {
		got := ""
		if r, ok := d.Match(c.host, "GET", c.path); ok {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Guards against a split that uses an undeclared service.
func TestSplitServicesMustExist(t *testing.T) {
	_, err := CompileBody(SectionBody{
		Section: "main", Owner: "ops",
		Ranks:    []Rank{{Name: "r", TargetMs: 100, Worth: 1}},
		Services: []Service{{Name: "s", Selector: "s", Slots: 1, Connections: 10}},
		Routes: []Route{{
			Name: "a", PathPrefix: "/", Service: "s", Rank: "r", TimeoutMs: 10,
			Split: []SplitPart{{Service: "s", Weight: 1}, {Service: "missing", Weight: 1}},
		}},
	})
	var invalid *InvalidDocumentError
	if !errors.As(err, &invalid) || invalid.Faults[0].Rule != RuleUnknownService {
		t.Errorf("got %v, want a fault about the unknown service", err)
	}
}
