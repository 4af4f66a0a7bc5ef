package settings

import (
	"crypto/ed25519"
	"fmt"
)

// KeySizeError reports a public key of the wrong size.
type KeySizeError struct {
	Bytes int
}

func (e *KeySizeError) Error() string {
	return fmt.Sprintf("key has %d bytes, an ed25519 public key has %d", e.Bytes, ed25519.PublicKeySize)
}
