package revision_test

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"github.com/filbertpier/filbertpier/internal/revision"
)

func anyRevision() *rapid.Generator[revision.Revision] {
	return rapid.Custom(func(t *rapid.T) revision.Revision {
		return revision.Revision{Era: rapid.Uint64Range(0, 3).Draw(t, "era"), Number: rapid.Uint64().Draw(t, "number")}
	})
}

// Guards against a revision of an earlier era that counts as newer because its number
// is higher, and against an order that depends on who compares.
func TestEraDecidesBeforeNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := anyRevision().Draw(t, "a"), anyRevision().Draw(t, "b")
		if a.Era < b.Era && !a.Less(b) {
			t.Fatalf("%v is not before %v", a, b)
		}
		if a.Compare(b) != -b.Compare(a) || (a.Compare(b) == 0) != (a == b) {
			t.Fatalf("the order of %v and %v depends on the side", a, b)
		}
	})
}

// Guards against a header of another node that is read as another revision than it was
// written, and against a panic or a half-read revision on arbitrary text.
func TestParseReadsWhatStringWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := anyRevision().Draw(t, "revision")
		if got, err := revision.Parse(r.String()); err != nil || got != r {
			t.Fatalf("%s was parsed as %v with error %v", r, got, err)
		}
		text := rapid.OneOf(rapid.String(), rapid.StringMatching(`[0-9+-]{0,25}\.?[0-9. ]{0,25}`)).Draw(t, "text")
		var invalid *revision.ParseError
		if got, err := revision.Parse(text); err != nil && (!errors.As(err, &invalid) || !got.IsZero()) {
			t.Fatalf("%q was parsed as %v with error %v", text, got, err)
		}
	})
}
