package lead

import (
	"fmt"
	"github.com/filbertpier/filbertpier/internal/ctl/files"
	"io"
	"path/filepath"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/internal/platform"
	"github.com/filbertpier/filbertpier/snapshot"
)

// Publication lists the values to write to the platform's configuration service.
// The order matters: the manifest comes last, so that nodes that read it find all
// of its sections.
type Publication struct {
	ID     snapshot.ID `json:"id"`
	Values []ValueFile `json:"values"`
}

// WritePublication verifies a version and writes one file per value below dir,
// named after its key, the manifest last. Sections that are part of the previous
// manifest are left out; previous may be nil. It returns an error of Verify, a
// *refusal.Error or a *files.Error.
func WritePublication(dir string, ring manifest.KeyRing, env *manifest.Envelope, sections []config.Section, previous *manifest.Manifest) (*Publication, error) {
	v, err := Verify(ring, env, sections)
	if err != nil {
		return nil, err
	}
	raw, err := env.Encode()
	if err != nil {
		return nil, &manifest.MalformedError{Part: "envelope", Err: err}
	}
	if previous != nil && v.ID.Version <= previous.Version {
		return nil, versionNotGreaterError(v.ID.Version, previous.Version)
	}
	published := map[manifest.Digest]bool{}
	if previous != nil {
		for _, ref := range previous.Sections {
			published[ref.Digest] = true
		}
	}
	p := &Publication{ID: v.ID, Values: []ValueFile{}}
	for _, s := range sections {
		digest := manifest.Sum(s.Raw)
		if published[digest] {
			continue
		}
		published[digest] = true
		if err := p.writeValue(dir, platform.SectionKey(digest), s.Raw); err != nil {
			return nil, err
		}
	}
	return p, p.writeValue(dir, platform.ManifestKey, raw)
}

// writeValue writes the file of a value and adds it to p.
func (p *Publication) writeValue(dir, key string, data []byte) error {
	path := filepath.Join(dir, filepath.FromSlash(key))
	p.Values = append(p.Values, ValueFile{Key: key, File: path, Bytes: len(data)})
	return files.Write(path, data, 0o644)
}

// Text implements ctl.Result.
func (p *Publication) Text(w io.Writer) error {
	for _, v := range p.Values {
		if _, err := fmt.Fprintf(w, "%s\t%d bytes\t%s\n", v.Key, v.Bytes, v.File); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "version %s: publish %d values in this order, the manifest last\n", p.ID, len(p.Values))
	return err
}
