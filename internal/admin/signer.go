package admin

import "github.com/filbertpier/filbertpier/config/manifest"

// Signer names the key with which a lead accepted a version.
type Signer struct {
	Lead  manifest.Lead `json:"lead"`
	KeyID string        `json:"keyId"`
}
