package manifest

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/filbertpier/filbertpier/config"
)

// Manifest lists the sections of one version of the configuration document.
type Manifest struct {
	// Version increases with each publication; 0 is not valid.
	Version  uint64       `json:"version"`
	Sections []SectionRef `json:"sections"`
}

// New returns the manifest of a version that consists of the given sections.
func New(version uint64, sections []config.Section) *Manifest {
	m := &Manifest{Version: version}
	for _, s := range sections {
		m.Sections = append(m.Sections, SectionRef{Name: s.Name, Owner: s.Owner, Digest: Sum(s.Raw), Size: len(s.Raw)})
	}
	return m
}

// ByName returns the section references indexed by name.
func (m *Manifest) ByName() map[string]SectionRef {
	out := make(map[string]SectionRef, len(m.Sections))
	for _, ref := range m.Sections {
		out[ref.Name] = ref
	}
	return out
}

// Encode returns the canonical JSON form, which is signed and published.
func (m *Manifest) Encode() ([]byte, error) { return json.Marshal(m) }

// Decode parses a manifest and checks its limits. It accepts only the bytes that
// Encode returns: repeated members, names in another letter case or trailing
// bytes would allow two parsers to read one signed manifest differently. It
// returns a *MalformedError.
func Decode(raw []byte) (*Manifest, error) {
	if len(raw) > MaxEnvelopeBytes {
		return nil, &MalformedError{Part: fmt.Sprintf("manifest of %d bytes, at most %d", len(raw), MaxEnvelopeBytes)}
	}
	var m Manifest
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, &MalformedError{Part: "manifest", Err: err}
	}
	if canonical, err := m.Encode(); err != nil || !bytes.Equal(canonical, raw) {
		return nil, &MalformedError{Part: "manifest: encoding is not canonical", Err: err}
	}
	if err := m.check(); err != nil {
		return nil, err
	}
	return &m, nil
}

// check validates the version number, the number of sections, and their names
// and sizes.
func (m *Manifest) check() error {
	if m.Version == 0 {
		return &MalformedError{Part: "manifest: version is 0"}
	}
	if len(m.Sections) == 0 || len(m.Sections) > config.MaxSections {
		return &MalformedError{Part: fmt.Sprintf("manifest with %d sections: none or too many", len(m.Sections))}
	}
	seen, total := map[string]bool{}, 0
	for _, s := range m.Sections {
		if s.Name == "" || seen[s.Name] {
			return &MalformedError{Part: fmt.Sprintf("manifest section name %.80q: empty or repeated", s.Name)}
		}
		if s.Size <= 0 || s.Size > config.MaxSectionBytes {
			return &MalformedError{Part: fmt.Sprintf("manifest section %.80q of %d bytes: empty or too large", s.Name, s.Size)}
		}
		seen[s.Name] = true
		total += s.Size
	}
	if total > config.MaxDocumentBytes {
		return &MalformedError{Part: fmt.Sprintf("manifest with %d bytes of sections, at most %d", total, config.MaxDocumentBytes)}
	}
	return nil
}
