package snapshot

import "github.com/filbertpier/filbertpier/config/manifest"

// SectionSource returns the content of a section by digest.
type SectionSource func(manifest.Digest) ([]byte, bool)
