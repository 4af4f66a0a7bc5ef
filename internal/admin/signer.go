package admin

import "github.com/filbertpier/filbertpier/config/manifest"

// Signer identifies the key with which a lead signed a version.
type Signer struct {
	Lead  manifest.Lead `json:"lead"`
	KeyID string        `json:"keyId"`
}
