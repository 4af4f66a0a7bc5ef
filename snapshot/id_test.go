package snapshot_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/snapshot"
)

// Guards against a panic on arbitrary text and against a second accepted
// spelling of the same ID.
func FuzzParseID(f *testing.F) {
	valid := snapshot.ID{Version: 7, Digest: manifest.Sum(nil)}.String()
	for _, seed := range []string{"", "-", valid, "0" + valid, "+" + valid, strings.ToUpper(valid), valid + "0", "18446744073709551616-" + valid[2:]} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		id, err := snapshot.ParseID(text)
		var invalid *snapshot.IDError
		if err != nil && (!errors.As(err, &invalid) || !id.IsZero()) {
			t.Fatalf("%q: got %v, %v, want the zero ID and an IDError", text, id, err)
		}
		if err == nil && id.String() != text {
			t.Fatalf("%q is accepted as %s", text, id)
		}
	})
}
