package once

import (
	"encoding/hex"
	"strconv"
	"strings"
	"time"
)

const (
	// keyFormatVersion is the first field of a key's text.
	keyFormatVersion = "1"
	keyFieldCount    = 5
	// maxKeyTextBytes limits the text of a key, so that a header cannot fill the
	// table's memory.
	maxKeyTextBytes = 256
)

// Key is an idempotency key. It names the only process that may run the call.
// Keys are comparable.
type Key struct {
	// VM and Boot identify the owner's process.
	VM   string
	Boot uint64
	// IssuedMs is the Unix time of issue in milliseconds by the issuer's clock.
	IssuedMs int64
	Nonce    [16]byte
}

// NewKey returns a key for an owner. The nonce must come from a cryptographic
// source: keys of different callers must not collide or be guessable.
func NewKey(now time.Time, vm string, boot uint64, nonce [16]byte) Key {
	return Key{VM: vm, Boot: boot, IssuedMs: now.UnixMilli(), Nonce: nonce}
}

// ParseKey reads the text of a key, with or without the quotation marks of a
// string in a structured field (RFC 9651). Errors are of type *MalformedKeyError.
func ParseKey(text string) (Key, error) {
	unquoted := text
	if n := len(text); n >= 2 && text[0] == '"' && text[n-1] == '"' {
		unquoted = text[1 : n-1]
	}
	fields := strings.SplitN(unquoted, ".", keyFieldCount)
	if len(unquoted) > maxKeyTextBytes || len(fields) != keyFieldCount || fields[0] != keyFormatVersion || fields[4] == "" {
		return Key{}, &MalformedKeyError{Length: len(text)}
	}
	k := Key{VM: fields[4]}
	var errBoot, errIssued error
	k.Boot, errBoot = strconv.ParseUint(fields[1], 36, 64)
	k.IssuedMs, errIssued = strconv.ParseInt(fields[2], 36, 64)
	n, errNonce := hex.Decode(k.Nonce[:], []byte(fields[3])[:min(len(fields[3]), 2*len(k.Nonce))])
	if errBoot != nil || errIssued != nil || errNonce != nil || n != len(k.Nonce) || k.String() != unquoted {
		return Key{}, &MalformedKeyError{Length: len(text)}
	}
	return k, nil
}

// String returns the text that ParseKey reads.
func (k Key) String() string {
	return strings.Join([]string{keyFormatVersion, strconv.FormatUint(k.Boot, 36), strconv.FormatInt(k.IssuedMs, 36),
		hex.EncodeToString(k.Nonce[:]), k.VM}, ".")
}

// expiresAtMs is the Unix time in milliseconds from which the key is no longer valid.
func (k Key) expiresAtMs() int64 { return k.IssuedMs + KeyValidity.Milliseconds() }
