package lead

import (
	"crypto/ed25519"
	"encoding/base64"
	"github.com/filbertpier/filbertpier/internal/ctl/files"
	"strings"

	"github.com/filbertpier/filbertpier/config/manifest"
)

// PublicKeyFiles lists the paths of each lead's public key files.
type PublicKeyFiles struct {
	Product    []string
	Operations []string
}

// LoadKeyRing reads the files into a key ring. It returns a *files.Error.
func (p PublicKeyFiles) LoadKeyRing() (manifest.KeyRing, error) {
	ring := manifest.KeyRing{}
	for lead, paths := range map[manifest.Lead][]string{manifest.LeadProduct: p.Product, manifest.LeadOperations: p.Operations} {
		for _, path := range paths {
			raw, err := files.Read(path)
			if err != nil {
				return nil, err
			}
			key, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(raw)))
			if err != nil || len(key) != ed25519.PublicKeySize {
				return nil, &files.Error{Op: "parse public key", Path: path}
			}
			ring[lead] = append(ring[lead], ed25519.PublicKey(key))
		}
	}
	return ring, nil
}
