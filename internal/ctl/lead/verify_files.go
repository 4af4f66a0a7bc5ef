package lead

import (
	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/internal/ctl/sections"
)

// VerifyFiles verifies an envelope file and, if paths are given, the sections.
func VerifyFiles(keys PublicKeyFiles, envelope string, paths []string) (*Verification, error) {
	ring, err := keys.Ring()
	if err != nil {
		return nil, err
	}
	env, _, err := LoadEnvelope(envelope)
	if err != nil {
		return nil, err
	}
	if len(paths) == 0 {
		return Verify(ring, env, nil)
	}
	doc, err := sections.Load(paths...)
	if err != nil {
		return nil, err
	}
	return Verify(ring, env, doc)
}

// PublishFiles verifies an envelope file with its sections and writes the
// values to publish. previous is the envelope published last, or empty.
func PublishFiles(keys PublicKeyFiles, envelope, previous, dir string, doc []config.Section) (*Publication, error) {
	ring, err := keys.Ring()
	if err != nil {
		return nil, err
	}
	env, _, err := LoadEnvelope(envelope)
	if err != nil {
		return nil, err
	}
	var last *manifest.Manifest
	if previous != "" {
		if _, last, err = LoadEnvelope(previous); err != nil {
			return nil, err
		}
	}
	return WritePublication(dir, ring, env, doc, last)
}
