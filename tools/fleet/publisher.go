package fleet

import (
	"bytes"
	"crypto/ed25519"
	"net/http"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/internal/platform"
)

// Publisher signs documents as both leads and publishes them on the platform
// stand-in.
type Publisher struct {
	product    ed25519.PrivateKey
	operations ed25519.PrivateKey
	// Product and Operations are the public keys.
	Product    ed25519.PublicKey
	Operations ed25519.PublicKey
}

// NewPublisher returns a publisher with newly generated keys.
func NewPublisher() (*Publisher, error) {
	p := &Publisher{}
	var err error
	if p.Product, p.product, err = ed25519.GenerateKey(nil); err != nil {
		return nil, &LaunchError{Process: "key generation", Err: err}
	}
	if p.Operations, p.operations, err = ed25519.GenerateKey(nil); err != nil {
		return nil, &LaunchError{Process: "key generation", Err: err}
	}
	return p, nil
}

// Envelope returns the envelope of a document with the signatures of both leads.
func (p *Publisher) Envelope(version uint64, sections []config.Section) (*manifest.Envelope, error) {
	m := manifest.Manifest{Version: version}
	for _, s := range sections {
		m.Sections = append(m.Sections, manifest.SectionRef{Name: s.Name, Owner: s.Owner, Digest: manifest.Sum(s.Raw), Size: len(s.Raw)})
	}
	raw, err := m.Encode()
	if err != nil {
		return nil, &LaunchError{Process: "manifest", Err: err}
	}
	env := &manifest.Envelope{Manifest: raw}
	env.Sign(manifest.LeadProduct, p.product)
	env.Sign(manifest.LeadOperations, p.operations)
	return env, nil
}

// Publish puts a document on the platform stand-in, sections first, and returns
// the time just before the manifest was sent.
func (p *Publisher) Publish(platformURL string, version uint64, sections []config.Section) (time.Time, error) {
	env, err := p.Envelope(version, sections)
	if err != nil {
		return time.Time{}, err
	}
	for _, s := range sections {
		if err := put(platformURL+"/control/values/"+platform.SectionKey(manifest.Sum(s.Raw)), s.Raw); err != nil {
			return time.Time{}, err
		}
	}
	raw, err := env.Encode()
	if err != nil {
		return time.Time{}, &LaunchError{Process: "envelope", Err: err}
	}
	at := time.Now()
	return at, put(platformURL+"/control/values/"+platform.ManifestKey, raw)
}

func put(url string, data []byte) error {
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return &LaunchError{Process: "publication", Err: err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &LaunchError{Process: "publication", Err: err}
	}
	return resp.Body.Close()
}
