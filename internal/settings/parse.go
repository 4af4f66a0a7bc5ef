package settings

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"

	"github.com/go-playground/validator/v10"
	"github.com/tailscale/hujson"

	"github.com/filbertpier/filbertpier/config/manifest"
)

// Parse decodes and checks settings written in JSON with comments. It returns
// an *InvalidError.
func Parse(raw []byte) (*Node, error) {
	std, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return nil, &InvalidError{Err: err}
	}
	var n Node
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&n); err != nil {
		return nil, &InvalidError{Err: err}
	}
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(&n); err != nil {
		return nil, &InvalidError{Err: err}
	}
	if _, err := n.Keys.Ring(); err != nil {
		return nil, err
	}
	return &n, nil
}

// Ring returns the keys in the form that verification needs. It returns an
// *InvalidError.
func (k Keys) Ring() (manifest.KeyRing, error) {
	ring := manifest.KeyRing{}
	for lead, texts := range map[manifest.Lead][]string{manifest.LeadProduct: k.Product, manifest.LeadOperations: k.Operations} {
		for _, text := range texts {
			key, err := base64.StdEncoding.DecodeString(text)
			if err != nil || len(key) != ed25519.PublicKeySize {
				return nil, &InvalidError{Field: "keys." + string(lead), Err: err}
			}
			ring[lead] = append(ring[lead], ed25519.PublicKey(key))
		}
	}
	return ring, nil
}
