package lead

import "github.com/filbertpier/filbertpier/internal/ctl/sections"

// AcceptFilesOptions names the files of an Acceptance. Empty paths are not used.
type AcceptFilesOptions struct {
	DocumentPaths []string
	KeyPath       string
	Version       uint64
	PreviousPath  string
	EnvelopePath  string
	OutputPath    string
}

// Accept signs the version and writes its envelope. Its errors are those of
// the function Accept and *files.Error; nothing is written then.
func (f AcceptFilesOptions) Accept() (*Accepted, error) {
	doc, err := sections.Load(f.DocumentPaths...)
	if err != nil {
		return nil, err
	}
	req := Acceptance{Sections: doc, Version: f.Version}
	if f.PreviousPath != "" {
		if _, req.Previous, err = LoadEnvelope(f.PreviousPath); err != nil {
			return nil, err
		}
	}
	if f.EnvelopePath != "" {
		if req.Envelope, _, err = LoadEnvelope(f.EnvelopePath); err != nil {
			return nil, err
		}
	}
	key, err := LoadKey(f.KeyPath)
	if err != nil {
		return nil, err
	}
	out, err := Accept(req, key)
	if err != nil {
		return nil, err
	}
	return out, SaveEnvelope(f.OutputPath, out.Envelope)
}
