package message

import "github.com/filbertpier/filbertpier/config/manifest"

// SectionDelta carries one section that differs from the base version.
type SectionDelta struct {
	Digest manifest.Digest `json:"digest"`
	// Base is the digest of the section that Frame is a delta to; zero if Frame
	// holds the whole section.
	Base manifest.Digest `json:"base"`
	// Frame is the section as spread.EncodeDelta encodes it.
	Frame []byte `json:"frame"`
}
