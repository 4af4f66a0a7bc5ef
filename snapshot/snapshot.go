package snapshot

import (
	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/config/manifest"
)

// Snapshot is one verified and compiled version of the configuration. It is
// immutable and safe for concurrent use.
type Snapshot struct {
	ID ID
	// Envelope and Manifest are nil in a snapshot made by NewUnsigned.
	Envelope *manifest.Envelope
	Manifest *manifest.Manifest
	Document *config.Document
	sections map[manifest.Digest][]byte
}

// Build verifies an envelope and compiles its sections. It returns
// *manifest.SignatureError, *manifest.MalformedError, *MissingSectionsError or
// *config.InvalidDocumentError, and no snapshot with an error.
func Build(keys manifest.KeyRing, env *manifest.Envelope, sectionSource SectionSource) (*Snapshot, error) {
	m, err := keys.Verify(env)
	if err != nil {
		return nil, err
	}
	s := &Snapshot{
		ID:       ID{Version: m.Version, Digest: env.Digest()},
		Envelope: env,
		Manifest: m,
		sections: make(map[manifest.Digest][]byte, len(m.Sections)),
	}
	sections, err := s.collectSections(sectionSource)
	if err != nil {
		return nil, err
	}
	if s.Document, err = config.Compile(sections); err != nil {
		return nil, err
	}
	return s, nil
}

// collectSections gets the sections of the manifest from the source and checks
// their digests.
func (s *Snapshot) collectSections(sectionSource SectionSource) ([]config.Section, error) {
	var missing []manifest.Digest
	sections := make([]config.Section, 0, len(s.Manifest.Sections))
	for _, ref := range s.Manifest.Sections {
		raw, ok := sectionSource(ref.Digest)
		if !ok || manifest.Sum(raw) != ref.Digest {
			missing = append(missing, ref.Digest)
			continue
		}
		s.sections[ref.Digest] = raw
		sections = append(sections, config.Section{Name: ref.Name, Owner: ref.Owner, Raw: raw})
	}
	if len(missing) > 0 {
		return nil, &MissingSectionsError{ID: s.ID, Missing: missing}
	}
	return sections, nil
}

// Section returns the content of one of the snapshot's sections. The caller
// must not modify it.
func (s *Snapshot) Section(d manifest.Digest) ([]byte, bool) {
	raw, ok := s.sections[d]
	return raw, ok
}
