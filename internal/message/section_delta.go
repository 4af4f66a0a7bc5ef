package message

import "github.com/filbertpier/filbertpier/config/manifest"

// SectionDelta carries one section that differs from the base version.
type SectionDelta struct {
	Digest manifest.Digest `json:"digest"`
	// Base is the digest of the section that Frame is a delta to, or zero.
	Base  manifest.Digest `json:"base"`
	Frame []byte          `json:"frame"`
}
