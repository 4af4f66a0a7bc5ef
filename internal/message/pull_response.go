package message

import (
	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/snapshot"
)

// PullResponse carries the sender's version, or reports that the sender holds
// neither the requested version nor a newer one.
type PullResponse struct {
	VM string      `json:"vm"`
	ID snapshot.ID `json:"id"`
	// Missing is set if the sender holds neither. ID is then the requested
	// version, and the fields below are empty.
	Missing bool `json:"missing,omitempty"`
	// Base is the version that the deltas apply to; the zero ID if the version is
	// sent in full.
	Base snapshot.ID `json:"base"`
	// Manifest is the encoded manifest, as a delta to the manifest of Base if
	// there is one.
	Manifest   []byte               `json:"manifest,omitempty"`
	Signatures []manifest.Signature `json:"signatures,omitempty"`
	Sections   []SectionDelta       `json:"sections,omitempty"`
}

// Kind implements Message.
func (*PullResponse) Kind() Kind { return KindPullResponse }
