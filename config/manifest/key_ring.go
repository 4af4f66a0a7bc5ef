package manifest

import (
	"crypto/ed25519"
	"encoding/hex"
)

// KeyRing holds the public keys of both leads. A role may have several keys
// during a key rotation. A KeyRing must not be modified after creation.
type KeyRing map[Lead][]ed25519.PublicKey

// keyIDLength is the length of a key ID in hexadecimal digits.
const keyIDLength = 16

// KeyID returns the first 16 hexadecimal digits of a public key's digest.
func KeyID(key ed25519.PublicKey) string {
	d := Sum(key)
	return hex.EncodeToString(d[:keyIDLength/2])
}

// Verify checks that both leads signed the envelope and decodes its manifest.
// It returns a *SignatureError or a *MalformedError.
func (k KeyRing) Verify(e *Envelope) (*Manifest, error) {
	digest := e.Digest()
	for _, lead := range Leads() {
		if err := k.verifyLead(e, lead, digest); err != nil {
			return nil, err
		}
	}
	// Nodes forward verified envelopes, which must not carry extra signatures.
	if err := e.checkSignatureFormat(); err != nil {
		return nil, err
	}
	return Decode(e.Manifest)
}

// verifyLead checks the lead's first signature against all keys of the role.
func (k KeyRing) verifyLead(e *Envelope, lead Lead, digest Digest) error {
	for _, sig := range e.Signatures {
		if sig.Lead != lead {
			continue
		}
		for _, key := range k[lead] {
			if KeyID(key) == sig.KeyID && ed25519.Verify(key, signedBytes(lead, digest), sig.Value) {
				return nil
			}
		}
		return &SignatureError{Lead: lead, KeyID: sig.KeyID, Reason: SignatureInvalid}
	}
	return &SignatureError{Lead: lead, Reason: SignatureMissing}
}
