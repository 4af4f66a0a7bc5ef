package snapshot_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/snapshot"
)

// Guards against a parser that panics or gives one ID two spellings.
func FuzzParseID(f *testing.F) {
	good := snapshot.ID{Version: 7, Digest: manifest.Sum(nil)}.String()
	for _, seed := range []string{"", "-", good, "0" + good, "+" + good, strings.ToUpper(good), good + "0", "18446744073709551616-" + good[2:]} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		id, err := snapshot.ParseID(text)
		var invalid *snapshot.IDError
		if err != nil && (!errors.As(err, &invalid) || !id.IsZero()) {
			t.Fatalf("%q: got %v, %v", text, id, err)
		}
		if err == nil && id.String() != text {
			t.Fatalf("%q parses as %s", text, id)
		}
	})
}
