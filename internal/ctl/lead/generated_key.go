package lead

import (
	"encoding/base64"
	"fmt"
	"io"

	"github.com/filbertpier/filbertpier/config/manifest"
)

// GeneratedKey describes a new key pair; it does not contain the private key.
type GeneratedKey struct {
	Lead  manifest.Lead `json:"lead"`
	KeyID string        `json:"keyId"`
	// PublicKey is the public key in the form that the settings of nodes take.
	PublicKey string   `json:"public"`
	Files     []string `json:"files"`
}

// GenerateKeyFiles creates a key pair and saves it as base+".key" and base+".pub".
// It returns a *files.Error, also if one of the files already exists.
func GenerateKeyFiles(role manifest.Lead, base string) (*GeneratedKey, error) {
	key, err := NewKey(role)
	if err != nil {
		return nil, err
	}
	if err := key.Save(base); err != nil {
		return nil, err
	}
	return &GeneratedKey{
		Lead: role, KeyID: manifest.KeyID(key.Public()),
		PublicKey: base64.StdEncoding.EncodeToString(key.Public()),
		Files:     []string{base + privateKeySuffix, base + publicKeySuffix},
	}, nil
}

// Text implements ctl.Result.
func (g *GeneratedKey) Text(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s lead, key id %s\nprivate key in %s; keep it and never copy it to a VM\npublic key for the nodes' settings: %s\n",
		g.Lead, g.KeyID, g.Files[0], g.PublicKey)
	return err
}
