package main

import (
	"crypto/sha256"
	"encoding/hex"
)

// seal vouches for the body of an answer to an attempt.
func seal(id string, body []byte) string {
	sum := sha256.Sum256(append([]byte(id+"\n"), body...))
	return hex.EncodeToString(sum[:8])
}
