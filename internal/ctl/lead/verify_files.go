package lead

import (
	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/internal/ctl/sections"
)

// VerifyFiles verifies an envelope file and, if paths is not empty, the sections
// in these files. It returns an error of Verify or a *files.Error.
func VerifyFiles(keys PublicKeyFiles, envelope string, paths []string) (*Verification, error) {
	ring, err := keys.LoadKeyRing()
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
// values to publish. previous is the path of the envelope published last, or empty.
// It returns an error of WritePublication or a *files.Error.
func PublishFiles(keys PublicKeyFiles, envelope, previous, dir string, doc []config.Section) (*Publication, error) {
	ring, err := keys.LoadKeyRing()
	if err != nil {
		return nil, err
	}
	env, _, err := LoadEnvelope(envelope)
	if err != nil {
		return nil, err
	}
	var previousManifest *manifest.Manifest
	if previous != "" {
		if _, previousManifest, err = LoadEnvelope(previous); err != nil {
			return nil, err
		}
	}
	return WritePublication(dir, ring, env, doc, previousManifest)
}
