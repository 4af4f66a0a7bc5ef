package lead

import "github.com/filbertpier/filbertpier/internal/ctl/sections"

// AcceptanceFiles names the files of an Acceptance. Empty paths are not used.
type AcceptanceFiles struct {
	Paths    []string
	Key      string
	Version  uint64
	Previous string
	Envelope string
	Out      string
}

// Accept signs the version and writes its envelope. Its errors are those of
// the function Accept and *files.Error; nothing is written then.
func (f AcceptanceFiles) Accept() (*Accepted, error) {
	doc, err := sections.Load(f.Paths...)
	if err != nil {
		return nil, err
	}
	req := Acceptance{Sections: doc, Version: f.Version}
	if f.Previous != "" {
		if _, req.Previous, err = LoadEnvelope(f.Previous); err != nil {
			return nil, err
		}
	}
	if f.Envelope != "" {
		if req.Envelope, _, err = LoadEnvelope(f.Envelope); err != nil {
			return nil, err
		}
	}
	key, err := LoadKey(f.Key)
	if err != nil {
		return nil, err
	}
	out, err := Accept(req, key)
	if err != nil {
		return nil, err
	}
	return out, SaveEnvelope(f.Out, out.Envelope)
}
