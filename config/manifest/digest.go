package manifest

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest is a SHA-256 digest.
type Digest [sha256.Size]byte

// Sum returns the digest of data.
func Sum(data []byte) Digest { return sha256.Sum256(data) }

// String returns the digest in lower-case hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns a
// *DigestError for anything but 64 hexadecimal digits.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return &DigestError{Text: string(text)}
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return &DigestError{Text: string(text), Err: err}
	}
	return nil
}
