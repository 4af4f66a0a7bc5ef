package manifest

import (
	"bytes"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"io"
	"slices"
)

// signingDomain prevents a signature over a manifest from being valid for any
// other kind of message signed with the same key.
const signingDomain = "filbertpier manifest v1\x00"

// Envelope is the published form of a manifest with its signatures.
type Envelope struct {
	// Manifest holds the exact bytes that were signed.
	Manifest   []byte      `json:"manifest"`
	Signatures []Signature `json:"signatures"`
}

// Digest returns the digest of the manifest, which identifies the version's
// content.
func (e *Envelope) Digest() Digest { return Sum(e.Manifest) }

// Encode returns the envelope in its published JSON form.
func (e *Envelope) Encode() ([]byte, error) { return json.Marshal(e) }

// DecodeEnvelope parses an envelope without verifying its signatures. It returns
// a *MalformedError if the bytes are too long or not a well-formed envelope.
func DecodeEnvelope(raw []byte) (*Envelope, error) {
	if len(raw) > MaxEnvelopeBytes {
		return nil, &MalformedError{Part: fmt.Sprintf("envelope of %d bytes, at most %d", len(raw), MaxEnvelopeBytes)}
	}
	var e Envelope
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&e); err != nil {
		return nil, &MalformedError{Part: "envelope", Err: err}
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, &MalformedError{Part: "envelope: trailing bytes"}
	}
	if err := e.checkSignatureFormat(); err != nil {
		return nil, err
	}
	return &e, nil
}

// checkSignatureFormat accepts at most one signature of each lead, with a value
// and a key ID of the right length. It does not verify them. Extra signatures
// would not affect verification, but nodes would forward them to their peers.
func (e *Envelope) checkSignatureFormat() error {
	if len(e.Signatures) > maxSignatures {
		return &MalformedError{Part: fmt.Sprintf("envelope with %d signatures, more than one of each lead", len(e.Signatures))}
	}
	seen := map[Lead]bool{}
	for _, s := range e.Signatures {
		if !slices.Contains(Leads(), s.Lead) || seen[s.Lead] || len(s.Value) != ed25519.SignatureSize || len(s.KeyID) != keyIDLength {
			return &MalformedError{Part: fmt.Sprintf("signature of lead %.40q: unknown lead, second signature or wrong length", string(s.Lead))}
		}
		seen[s.Lead] = true
	}
	return nil
}

// Sign adds the lead's signature or replaces an earlier one.
func (e *Envelope) Sign(lead Lead, key ed25519.PrivateKey) {
	sig := Signature{
		Lead:  lead,
		KeyID: KeyID(key.Public().(ed25519.PublicKey)),
		Value: ed25519.Sign(key, signedBytes(lead, e.Digest())),
	}
	signatures := e.Signatures[:0:0]
	for _, s := range e.Signatures {
		if s.Lead != lead {
			signatures = append(signatures, s)
		}
	}
	e.Signatures = append(signatures, sig)
}

// signedBytes includes the role, so that one lead's signature is not valid for
// the other even if both roles share a key by mistake.
func signedBytes(lead Lead, d Digest) []byte {
	b := append([]byte(signingDomain), lead...)
	b = append(b, 0)
	return append(b, d[:]...)
}
