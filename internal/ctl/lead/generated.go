package lead

import (
	"encoding/base64"
	"fmt"
	"io"

	"github.com/filbertpier/filbertpier/config/manifest"
)

// Generated describes a new key pair without its private key.
type Generated struct {
	Lead  manifest.Lead `json:"lead"`
	KeyID string        `json:"keyId"`
	// Public is the public key as the settings of nodes hold it.
	Public string   `json:"public"`
	Files  []string `json:"files"`
}

// GenerateKeyFiles makes a key pair and saves it as base+".key" and base+".pub". It
// returns a *files.Error, also if one of the files exists.
func GenerateKeyFiles(role manifest.Lead, base string) (*Generated, error) {
	key, err := NewKey(role)
	if err != nil {
		return nil, err
	}
	if err := key.Save(base); err != nil {
		return nil, err
	}
	return &Generated{
		Lead: role, KeyID: manifest.KeyID(key.Public()),
		Public: base64.StdEncoding.EncodeToString(key.Public()),
		Files:  []string{base + keySuffix, base + pubSuffix},
	}, nil
}

// Text implements ctl.Result.
func (g *Generated) Text(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s lead, key id %s\nprivate key in %s; keep it and never copy it to a VM\npublic key for the nodes' settings: %s\n",
		g.Lead, g.KeyID, g.Files[0], g.Public)
	return err
}
