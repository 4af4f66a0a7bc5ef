package snapshot

import (
	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/config/manifest"
)

// Snapshot is one version, verified and compiled whole. It is immutable and
// safe for concurrent use.
type Snapshot struct {
	ID       ID
	Envelope *manifest.Envelope
	Manifest *manifest.Manifest
	Document *config.Document
	sections map[manifest.Digest][]byte
}

// Build verifies an envelope and compiles its sections. It returns
// *manifest.SignatureError, *manifest.MalformedError, *MissingSectionsError or
// *config.InvalidDocumentError; nothing is kept after an error.
func Build(keys manifest.KeyRing, env *manifest.Envelope, source SectionSource) (*Snapshot, error) {
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
	sections, err := s.collect(source)
	if err != nil {
		return nil, err
	}
	if s.Document, err = config.Compile(sections); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Snapshot) collect(source SectionSource) ([]config.Section, error) {
	var missing []manifest.Digest
	sections := make([]config.Section, 0, len(s.Manifest.Sections))
	for _, ref := range s.Manifest.Sections {
		raw, ok := source(ref.Digest)
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
// must not change it.
func (s *Snapshot) Section(d manifest.Digest) ([]byte, bool) {
	raw, ok := s.sections[d]
	return raw, ok
}
