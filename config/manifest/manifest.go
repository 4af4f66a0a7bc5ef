package manifest

import (
	"bytes"
	"encoding/json"
)

// Manifest lists the sections of one version.
type Manifest struct {
	// Version grows by at least one with each publication; 0 is not valid.
	Version  uint64       `json:"version"`
	Sections []SectionRef `json:"sections"`
}

// Encode returns the bytes that are signed and published.
func (m *Manifest) Encode() ([]byte, error) { return json.Marshal(m) }

// Decode parses a manifest and checks its own consistency. It returns a
// *MalformedError.
func Decode(raw []byte) (*Manifest, error) {
	var m Manifest
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&m); err != nil {
		return nil, &MalformedError{Part: "manifest", Err: err}
	}
	if m.Version == 0 {
		return nil, &MalformedError{Part: "manifest version"}
	}
	if len(m.Sections) == 0 {
		return nil, &MalformedError{Part: "manifest sections"}
	}
	seen := map[string]bool{}
	for _, s := range m.Sections {
		if s.Name == "" || seen[s.Name] {
			return nil, &MalformedError{Part: "manifest section name " + s.Name}
		}
		seen[s.Name] = true
	}
	return &m, nil
}
