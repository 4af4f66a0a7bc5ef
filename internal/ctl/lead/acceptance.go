package lead

import (
	"fmt"
	"github.com/filbertpier/filbertpier/internal/ctl/refusal"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/snapshot"
)

// Acceptance is a request of a lead to sign a version.
type Acceptance struct {
	// Sections is the document as the lead has it.
	Sections []config.Section
	// Version is the version number; 0 means one more than Previous.
	Version uint64
	// Previous is the manifest that was published last, or nil for the first
	// version.
	Previous *manifest.Manifest
	// Envelope is the one that the other lead signed, or nil.
	Envelope *manifest.Envelope
}

// Accept signs a version as the lead whose key is given. It returns a
// *config.InvalidDocumentError, a *refusal.Error or a *manifest.MalformedError;
// nothing is signed then.
func Accept(a Acceptance, key *Key) (*Accepted, error) {
	report := config.Check(a.Sections)
	if err := report.Err(); err != nil {
		return nil, err
	}
	version, err := a.version()
	if err != nil {
		return nil, err
	}
	m := manifest.New(version, a.Sections)
	raw, err := m.Encode()
	if err != nil {
		return nil, &manifest.MalformedError{Part: "manifest", Err: err}
	}
	if _, err := manifest.Decode(raw); err != nil {
		return nil, err
	}
	env := &manifest.Envelope{Manifest: raw}
	if a.Envelope != nil {
		if a.Envelope.Digest() != env.Digest() {
			return nil, &refusal.Error{Reason: refusal.ReasonOtherContent, Detail: fmt.Sprintf("the envelope holds other sections than the files given for version %d", version),
				Remedy: "get the document that the other lead signed, or accept anew without --envelope"}
		}
		env.Signatures = append(env.Signatures, a.Envelope.Signatures...)
	}
	env.Sign(key.Lead, key.private)
	out := &Accepted{ID: snapshot.ID{Version: version, Digest: env.Digest()}, Warnings: report.Warnings, Envelope: env}
	out.countLeads()
	return out, nil
}

// version decides the version number.
func (a Acceptance) version() (uint64, error) {
	version := a.Version
	if a.Envelope != nil && version == 0 {
		m, err := manifest.Decode(a.Envelope.Manifest)
		if err != nil {
			return 0, err
		}
		version = m.Version
	}
	switch {
	case version == 0 && a.Previous == nil:
		return 0, &refusal.Error{Reason: refusal.ReasonVersionRequired, Detail: "neither a version nor a previous manifest is given", Remedy: "give --previous, or --number for the first version"}
	case version == 0:
		return a.Previous.Version + 1, nil
	case a.Previous != nil && version <= a.Previous.Version:
		return 0, notGreater(version, a.Previous.Version)
	}
	return version, nil
}

func notGreater(version, previous uint64) error {
	return &refusal.Error{
		Reason: refusal.ReasonVersionNotGreater,
		Detail: fmt.Sprintf("version %d is not greater than the previous version %d", version, previous),
		Remedy: fmt.Sprintf("use %d; to roll back, accept the older sections under a greater version", previous+1),
	}
}
