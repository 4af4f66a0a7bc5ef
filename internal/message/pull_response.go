package message

import (
	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/snapshot"
)

// PullResponse carries a version, or tells that the sender does not hold the
// version asked for or a newer one.
type PullResponse struct {
	VM string      `json:"vm"`
	ID snapshot.ID `json:"id"`
	// Missing is set, and the rest empty, if the sender has nothing as new.
	Missing bool `json:"missing,omitempty"`
	// Base is the version that the deltas refer to, or the zero ID.
	Base snapshot.ID `json:"base"`
	// Manifest is a delta to the manifest of Base.
	Manifest   []byte               `json:"manifest,omitempty"`
	Signatures []manifest.Signature `json:"signatures,omitempty"`
	Sections   []SectionDelta       `json:"sections,omitempty"`
}

// Kind implements Message.
func (*PullResponse) Kind() Kind { return KindPullResponse }
