package platform

import "github.com/filbertpier/filbertpier/config/manifest"

// ManifestKey is the key of the signed envelope of the published version.
const ManifestKey = "manifest"

// VMListKey names the VM list in errors. The stand-in in
// internal/standin/platformserver also stores the list under it.
const VMListKey = "vms"

// RevisionHeader is the response header with the revision of a value.
const RevisionHeader = "X-Revision"

// SectionKey returns the key of a section's content.
func SectionKey(d manifest.Digest) string { return "sections/" + d.String() }
