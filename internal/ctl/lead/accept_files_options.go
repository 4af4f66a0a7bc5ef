package lead

import "github.com/filbertpier/filbertpier/internal/ctl/sections"

// AcceptFilesOptions are the paths and the version of an acceptance from files.
// PreviousPath and EnvelopePath may be empty.
type AcceptFilesOptions struct {
	// DocumentPaths are section files, folders of them or long documents.
	DocumentPaths []string
	KeyPath       string
	Version       uint64
	PreviousPath  string
	EnvelopePath  string
	OutputPath    string
}

// Accept signs the version and writes its envelope to OutputPath. On failure it
// writes nothing and returns an error of the function Accept or a *files.Error.
func (f AcceptFilesOptions) Accept() (*AcceptResult, error) {
	doc, err := sections.Load(f.DocumentPaths...)
	if err != nil {
		return nil, err
	}
	req := AcceptRequest{Sections: doc, Version: f.Version}
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
