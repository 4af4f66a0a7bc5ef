package manifest

// Signature is one lead's signature of a manifest.
type Signature struct {
	Lead Lead `json:"lead"`
	// KeyID identifies the public key; see the function KeyID.
	KeyID string `json:"keyId"`
	// Value is the Ed25519 signature.
	Value []byte `json:"value"`
}
