package admin

import (
	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/snapshot"
)

// Version describes the configuration version in force.
type Version struct {
	ID       snapshot.ID           `json:"id"`
	Version  uint64                `json:"version"`
	Digest   manifest.Digest       `json:"digest"`
	Sections []manifest.SectionRef `json:"sections"`
	Signers  []Signer              `json:"signers"`
}

// VersionOf returns the API's description of a snapshot.
func VersionOf(s *snapshot.Snapshot) Version {
	v := Version{ID: s.ID, Version: s.ID.Version, Digest: s.ID.Digest, Sections: s.Manifest.Sections, Signers: []Signer{}}
	for _, sig := range s.Envelope.Signatures {
		v.Signers = append(v.Signers, Signer{Lead: sig.Lead, KeyID: sig.KeyID})
	}
	return v
}
