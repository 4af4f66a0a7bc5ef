package testkit

import (
	"bytes"
	"crypto/ed25519"
	"fmt"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/config/manifest"
)

// Publisher signs documents with fixed keys of both leads. It is safe for
// concurrent use.
type Publisher struct {
	product    ed25519.PrivateKey
	operations ed25519.PrivateKey
}

// NewPublisher returns a publisher; all publishers have the same keys.
func NewPublisher() *Publisher {
	return &Publisher{
		product:    ed25519.NewKeyFromSeed(bytes.Repeat([]byte{1}, ed25519.SeedSize)),
		operations: ed25519.NewKeyFromSeed(bytes.Repeat([]byte{2}, ed25519.SeedSize)),
	}
}

// Keys returns the public keys with which the signatures can be verified.
func (p *Publisher) Keys() manifest.KeyRing {
	return manifest.KeyRing{
		manifest.LeadProduct:    {p.product.Public().(ed25519.PublicKey)},
		manifest.LeadOperations: {p.operations.Public().(ed25519.PublicKey)},
	}
}

// Envelope returns the envelope of a document with the signatures of the given
// leads only.
func (p *Publisher) Envelope(version uint64, sections []config.Section, leads ...manifest.Lead) *manifest.Envelope {
	m := manifest.Manifest{Version: version}
	for _, s := range sections {
		m.Sections = append(m.Sections, manifest.SectionRef{Name: s.Name, Owner: s.Owner, Digest: manifest.Sum(s.Raw), Size: len(s.Raw)})
	}
	raw, err := m.Encode()
	if err != nil {
		panic(err)
	}
	env := &manifest.Envelope{Manifest: raw}
	for _, lead := range leads {
		key := p.product
		if lead == manifest.LeadOperations {
			key = p.operations
		}
		env.Sign(lead, key)
	}
	return env
}

// SignedByBothLeads returns the envelope of a document that both leads signed.
func (p *Publisher) SignedByBothLeads(version uint64, sections []config.Section) *manifest.Envelope {
	return p.Envelope(version, sections, manifest.Leads()...)
}

// Sections returns a valid document with one section per service name and one
// for ranks. generation sets a timeout in the first service's section, so that
// documents of different generations differ.
func Sections(generation int, services ...string) []config.Section {
	out := []config.Section{{Name: "ranks", Owner: "operations", Raw: []byte(`{"section": "ranks", "owner": "operations",
  "ranks": [
    {"name": "urgent", "order": 0, "targetMs": 250, "worth": 10, "floor": 0.5},
    {"name": "bulk", "order": 1, "targetMs": 10000, "worth": 1, "floor": 0.1}],
  "retries": [{"name": "standard", "maxAttempts": 3, "budgetRatio": 0.1, "backoffMs": 5}]}`)}}
	for i, name := range services {
		timeout := 2000
		if i == 0 {
			timeout += generation
		}
		out = append(out, config.Section{Name: name, Owner: name + "-team", Raw: []byte(fmt.Sprintf(`{
  "section": %[1]q, "owner": "%[1]s-team",
  "services": [{"name": %[1]q, "selector": %[1]q, "slots": 6, "connections": 110}],
  "routes": [{"name": %[1]q, "pathPrefix": "/%[1]s", "service": %[1]q, "rank": "urgent", "idempotent": true,
    "timeoutMs": %[2]d, "retry": "standard"}]}`, name, timeout))})
	}
	return out
}

// SectionSource returns a function that looks up the content of a section by its
// digest, as snapshot.Build needs it.
func SectionSource(sections []config.Section) func(manifest.Digest) ([]byte, bool) {
	return func(d manifest.Digest) ([]byte, bool) {
		for _, s := range sections {
			if manifest.Sum(s.Raw) == d {
				return s.Raw, true
			}
		}
		return nil, false
	}
}
