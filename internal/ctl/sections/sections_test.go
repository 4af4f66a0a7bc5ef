package sections_test

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/ctl/refusal"
	"github.com/filbertpier/filbertpier/internal/ctl/sections"
)

// Guards against a round trip through a long document that changes the bytes of
// a section and so its digest.
func TestSplitUndoesAssemble(t *testing.T) {
	filler := rapid.SampledFrom([]string{"", " ", "\n", "\n\n", "// note\n", "/* , ] */", "\t// [\n// {\n"})
	body := rapid.SampledFrom([]string{`{"section": "a", "owner": "o"}`, "{// x\n\"section\": \"b\",}", `{}`, "{\"owner\": \"]\"}"})
	rapid.Check(t, func(t *rapid.T) {
		var in []config.Section
		for range rapid.IntRange(0, 5).Draw(t, "sections") {
			tail := filler.Draw(t, "after")
			raw := filler.Draw(t, "before") + body.Draw(t, "body") + tail
			in = append(in, config.Section{Raw: []byte(raw)})
		}
		out, err := sections.Split("long", sections.Assemble(in))
		if err != nil || len(out) != len(in) {
			t.Fatalf("assembled %d sections, split into %d: %v", len(in), len(out), err)
		}
		for i := range in {
			if !bytes.Equal(in[i].Raw, out[i].Raw) {
				t.Fatalf("section %d: assembled %q, split into %q", i, in[i].Raw, out[i].Raw)
			}
		}
	})
}

// Guards against section names that escape the folder or overwrite the owners
// file.
func TestWriteFolderRefusesOtherPaths(t *testing.T) {
	for _, name := range []string{"../a", "a/b", "owners", ""} {
		var refused *refusal.Error
		if _, err := sections.WriteFolder(t.TempDir(), []config.Section{{Name: name}}, nil); !errors.As(err, &refused) {
			t.Errorf("section name %q: got %v, want a *refusal.Error", name, err)
		}
	}
}
