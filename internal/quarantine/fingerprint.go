package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request; repeated copies of a request share it.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request from the parts of its head that
// its copies share, the length of its body and the buffered part of the body.
func NewFingerprint(head []string, bodyLength int64, body []byte) Fingerprint {
	d := xxhash.New()
	for _, part := range head {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	var f Fingerprint
	binary.BigEndian.PutUint64(f[:8], d.Sum64())
	d.ResetWithSeed(uint64(bodyLength))
	_, _ = d.Write(body)
	binary.BigEndian.PutUint64(f[8:], d.Sum64())
	return f
}
