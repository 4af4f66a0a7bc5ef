package revision

import (
	"cmp"
	"strconv"
	"strings"
)

// Revision is a position in the history of the platform's store. Revisions are
// ordered by era, then by number. The zero Revision precedes all others. It is
// immutable.
type Revision struct {
	// Era counts the returns of the store from an older copy of itself; zero if the
	// store does not name its era. A return gives numbers out again, so numbers of
	// two eras say nothing about their order.
	Era uint64
	// Number is the store's count of changes.
	Number uint64
}

// Compare returns -1, 0 or +1 if r is before, equal to or after o.
func (r Revision) Compare(o Revision) int {
	if c := cmp.Compare(r.Era, o.Era); c != 0 {
		return c
	}
	return cmp.Compare(r.Number, o.Number)
}

// Less reports whether r is before o.
func (r Revision) Less(o Revision) bool { return r.Compare(o) < 0 }

// IsZero reports whether r is the zero Revision.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the era and the number joined by a dot, or the number alone if the
// store does not name its era.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number, 10)
	if r.Era == 0 {
		return number
	}
	return strconv.FormatUint(r.Era, 10) + "." + number
}

// Parse parses the output of String. It returns a *ParseError for other text.
func Parse(text string) (Revision, error) {
	era, number, hasEra := strings.Cut(text, ".")
	if !hasEra {
		era, number = "0", text
	}
	var r Revision
	var err error
	if r.Era, err = strconv.ParseUint(era, 10, 64); err != nil {
		return Revision{}, &ParseError{Text: text, Err: err}
	}
	if r.Number, err = strconv.ParseUint(number, 10, 64); err != nil {
		return Revision{}, &ParseError{Text: text, Err: err}
	}
	return r, nil
}
