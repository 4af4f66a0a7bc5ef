package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"

	"github.com/filbertpier/filbertpier/config/manifest"
)

// Keys holds the ed25519 public keys of each manifest.Lead, in base64. A lead may
// have two keys while one is being replaced.
type Keys struct {
	Product    []string `json:"product" validate:"required,min=1"`
	Operations []string `json:"operations" validate:"required,min=1"`
}

// KeyRing decodes the keys for signature verification. If a key cannot be
// decoded, it returns an *InvalidError with that one fault.
func (k Keys) KeyRing() (manifest.KeyRing, error) {
	ring := manifest.KeyRing{}
	for lead, texts := range map[manifest.Lead][]string{manifest.LeadProduct: k.Product, manifest.LeadOperations: k.Operations} {
		for i, text := range texts {
			key, err := decodeKey(text)
			if err != nil {
				return nil, &InvalidError{Faults: []Fault{{Field: fmt.Sprintf("/keys/%s/%d", lead, i), Rule: RuleKey, Detail: err.Error(), Remedy: remedies[RuleKey]}}}
			}
			ring[lead] = append(ring[lead], key)
		}
	}
	return ring, nil
}

// decodeKey decodes a public key in base64. It returns a
// base64.CorruptInputError or a *KeySizeError.
func decodeKey(text string) (ed25519.PublicKey, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, err
	}
	if len(key) != ed25519.PublicKeySize {
		return nil, &KeySizeError{Bytes: len(key)}
	}
	return key, nil
}
