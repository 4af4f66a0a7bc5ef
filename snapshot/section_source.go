package snapshot

import "github.com/filbertpier/filbertpier/config/manifest"

// SectionSource returns the content of the section with a digest, and whether it
// is available.
type SectionSource func(manifest.Digest) ([]byte, bool)
