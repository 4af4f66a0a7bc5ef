package lead

import (
	"fmt"
	"github.com/filbertpier/filbertpier/internal/ctl/refusal"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/snapshot"
)

// AcceptRequest describes a version that a lead wants to sign.
type AcceptRequest struct {
	// Sections is the lead's own copy of the document.
	Sections []config.Section
	// Version is the version number; 0 means that of Envelope or, without an
	// envelope, one more than Previous.
	Version uint64
	// Previous is the manifest published last. It may be nil if Version is set
	// or Envelope is given.
	Previous *manifest.Manifest
	// Envelope is the envelope that the other lead has signed, or nil. Its
	// signatures are kept, and its content has to match Sections.
	Envelope *manifest.Envelope
}

// Accept checks a version and signs it with a lead's key. On failure it signs
// nothing and returns a *config.InvalidDocumentError, a *refusal.Error or a
// *manifest.MalformedError.
func Accept(a AcceptRequest, key *Key) (*AcceptResult, error) {
	report := config.Check(a.Sections)
	if err := report.Err(); err != nil {
		return nil, err
	}
	version, err := a.resolveVersion()
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
			return nil, &refusal.Error{Reason: refusal.ReasonOtherContent, Detail: fmt.Sprintf("the sections in the envelope differ from the given files for version %d", version),
				Remedy: "get the document that the other lead signed, or start a new envelope without --envelope"}
		}
		env.Signatures = append(env.Signatures, a.Envelope.Signatures...)
	}
	env.Sign(key.Lead, key.private)
	out := &AcceptResult{ID: snapshot.ID{Version: version, Digest: env.Digest()}, Warnings: report.Warnings, Envelope: env}
	out.setSignedAndMissing()
	return out, nil
}

// resolveVersion returns the version number to sign: the given one, else that of
// the envelope, else one more than the previous. It has to exceed the previous.
func (a AcceptRequest) resolveVersion() (uint64, error) {
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
		return 0, versionNotGreaterError(version, a.Previous.Version)
	}
	return version, nil
}

func versionNotGreaterError(version, previous uint64) error {
	return &refusal.Error{
		Reason: refusal.ReasonVersionNotGreater,
		Detail: fmt.Sprintf("version %d is not greater than the previous version %d", version, previous),
		Remedy: fmt.Sprintf("use %d; to roll back, accept the older sections under a greater version", previous+1),
	}
}
