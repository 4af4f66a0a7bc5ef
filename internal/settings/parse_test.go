package settings_test

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/ctl/sections"
	"github.com/filbertpier/filbertpier/internal/settings"
)

const examples = "../../docs/examples/"

// Guards against invalid example settings and documents in docs/examples, which
// operators copy.
func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"nadroka", "formosa-heralds"} {
		raw, err := os.ReadFile(examples + name + ".jsonc")
		if err != nil {
			t.Fatal(err)
		}
		n, err := settings.Parse(raw)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if n.Platform.Region != n.Region || n.DrainMs == 0 {
			t.Errorf("%s: the preset is not applied: %+v", name, n)
		}
		doc, err := sections.Load(examples + name)
		if err != nil {
			t.Fatal(err)
		}
		report := config.Check(doc)
		if len(report.Faults)+len(report.Warnings) > 0 {
			t.Errorf("%s: %v %v", name, report.Faults, report.Warnings)
		}
		if _, ok := report.Document.MatchRoute("GET", "/"); ok || len(report.Document.Services()) != 3 {
			t.Errorf("%s: the document has a route for / or a number of services other than 3", name)
		}
	}
}

// base is a valid settings file. Each case replaces one fragment of it.
const base = `{"vm": "a", "zone": "z", "region": "north", "service": "s",
"listen": {"calls": "10.0.0.1:1", "peers": "10.0.0.1:2", "admin": "10.0.0.1:3"},
"upstream": "10.0.0.1:4", "platform": {"url": "http://10.0.0.2:5", "region": "north"}, "seeds": null,
"keys": {"product": ["AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="],
 "operations": ["BBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBA="]}, "drainMs": 100}`

var parseCases = []struct {
	name, from, to string
	want           []string
}{
	{"valid", "", "", nil},
	{"syntax", `"zone":`, `"zone"`, []string{"1  syntax"}},
	{"nesting", `null`, strings.Repeat("[", 40), []string{"3  nesting"}},
	{"unknown field", `"drainMs"`, `"drain"`, []string{"5 /drain unknown-field"}},
	{"letter case", `"vm"`, `"VM"`, []string{"1 /VM unknown-field", "1 /vm required"}},
	{"duplicate", `"zone": "z"`, `"zone": "z", "zone": "y"`, []string{"1 /zone duplicate-field"}},
	{"time with a unit", `"drainMs": 100`, `"drainMs": "100ms"`, []string{"5 /drainMs wrong-type"}},
	{"string for an object", `{"url": "http://10.0.0.2:5", "region": "north"}`, `"10.0.0.2:5"`, []string{"3 /platform wrong-type"}},
	{"missing object", `"listen": {"calls": "10.0.0.1:1", "peers": "10.0.0.1:2", "admin": "10.0.0.1:3"},`, ``,
		[]string{"1 /listen/calls required", "1 /listen/peers required", "1 /listen/admin required"}},
	{"range", `"drainMs": 100`, `"drainMs": 600001`, []string{"5 /drainMs range"}},
	{"choice", `"drainMs": 100`, `"log": {"level": "loud"}`, []string{"5 /log/level choice"}},
	{"host name", `"calls": "10.0.0.1:1"`, `"calls": "localhost:1"`, []string{"2 /listen/calls ip-port"}},
	{"port 0", `"10.0.0.1:4"`, `"10.0.0.1:0"`, []string{"3 /upstream ip-port"}},
	{"host name of the platform", `http://10.0.0.2:5`, `http://platform:5`, []string{"3 /platform/url ip-url"}},
	{"host name of a seed", `null`, `["10.0.0.9:2", "seed:2"]`, []string{"3 /seeds/1 ip-port"}},
	{"overlap", `"admin": "10.0.0.1:3"`, `"admin": "10.0.0.1:2"`, []string{"2 /listen/admin overlapping-listeners"}},
	{"overlap of any address", `"admin": "10.0.0.1:3"`, `"admin": "0.0.0.0:4"`, []string{"3 /upstream overlapping-listeners"}},
	{"unreachable", `"peers": "10.0.0.1:2"`, `"peers": "[::]:2"`, []string{"2 /listen/peers unspecified-address"}},
	{"no key", `["AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="]`, `[]`, []string{"4 /keys/product range"}},
	{"missing keys", `"product": ["AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="],`, ``, []string{"4 /keys/product required"}},
	{"short key", `BBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBA=`, `QkI=`, []string{"5 /keys/operations/0 public-key"}},
	{"shared key", `BBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBA=`, `AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=`,
		[]string{"5 /keys/operations/0 shared-key"}},
	{"region of another deployment", `"vm": "a"`, `"preset": "nadroka", "vm": "a"`, []string{"1 /region preset-region"}},
	{"several faults", `"vm": "a", "zone": "z"`, `"vm": 1, "color": "red"`, []string{"1 /vm wrong-type", "1 /color unknown-field", "1 /zone required"}},
}

// Guards against reporting only the first fault, reporting one twice, and faults
// without a line, a detail or a remedy.
func TestEveryFaultIsReportedWithRemedy(t *testing.T) {
	for _, c := range parseCases {
		if !strings.Contains(base, c.from) {
			t.Fatalf("%s: %q is not in the base settings", c.name, c.from)
		}
		_, err := settings.Parse([]byte(strings.Replace(base, c.from, c.to, 1)))
		var invalid *settings.InvalidError
		var got []string
		if errors.As(err, &invalid) {
			for _, f := range invalid.Faults {
				got = append(got, fmt.Sprintf("%d %s %s", f.Line, f.Field, f.Rule))
				if f.Remedy == "" || f.Detail == "" {
					t.Errorf("%s: no remedy or detail: %v", c.name, f)
				}
			}
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against a panic while decoding, and against accepting settings that
// lack an address or a key.
func FuzzParse(f *testing.F) {
	for _, c := range parseCases {
		f.Add([]byte(strings.Replace(base, c.from, c.to, 1)))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		n, err := settings.Parse(raw)
		var invalid *settings.InvalidError
		if err != nil && (!errors.As(err, &invalid) || len(invalid.Faults) == 0) {
			t.Fatalf("got %v, want an InvalidError with faults", err)
		}
		if err != nil {
			return
		}
		if ring, err := n.Keys.KeyRing(); err != nil || len(ring) != 2 || n.LocalIP() == "" || n.CallAddr() == "" {
			t.Fatalf("valid settings lack keys or addresses: %+v, %v", n, err)
		}
	})
}
