package manifest

// Signature is one lead's acceptance of a manifest.
type Signature struct {
	Lead Lead `json:"lead"`
	// KeyID is the hexadecimal prefix of the public key's digest.
	KeyID string `json:"keyId"`
	Value []byte `json:"value"`
}
