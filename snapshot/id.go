package snapshot

import (
	"bytes"
	"cmp"
	"strconv"
	"strings"

	"github.com/filbertpier/filbertpier/config/manifest"
)

// ID identifies a version. IDs are totally ordered by version number, then by
// digest, so that nodes that receive two manifests with the same version number
// select the same one without coordination. The zero ID precedes all others.
type ID struct {
	Version uint64
	Digest  manifest.Digest
}

// Compare returns -1, 0 or +1 if a is before, equal to or after b.
func (a ID) Compare(b ID) int {
	if c := cmp.Compare(a.Version, b.Version); c != 0 {
		return c
	}
	return bytes.Compare(a.Digest[:], b.Digest[:])
}

// Less reports whether a is before b.
func (a ID) Less(b ID) bool { return a.Compare(b) < 0 }

// IsZero reports whether the ID names no version.
func (a ID) IsZero() bool { return a == ID{} }

// String returns the version and the digest joined by a hyphen.
func (a ID) String() string {
	return strconv.FormatUint(a.Version, 10) + "-" + a.Digest.String()
}

// MarshalText implements encoding.TextMarshaler.
func (a ID) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an *IDError if
// the text is not an ID.
func (a *ID) UnmarshalText(text []byte) error {
	id, err := ParseID(string(text))
	if err != nil {
		return err
	}
	*a = id
	return nil
}

// ParseID parses the output of String. It returns an *IDError for any other
// spelling, because IDs are compared as text in headers and logs.
func ParseID(s string) (ID, error) {
	number, digest, ok := strings.Cut(s, "-")
	if !ok {
		return ID{}, &IDError{Text: s}
	}
	v, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return ID{}, &IDError{Text: s, Err: err}
	}
	id := ID{Version: v}
	if err := id.Digest.UnmarshalText([]byte(digest)); err != nil {
		return ID{}, &IDError{Text: s, Err: err}
	}
	if id.String() != s {
		return ID{}, &IDError{Text: s}
	}
	return id, nil
}
