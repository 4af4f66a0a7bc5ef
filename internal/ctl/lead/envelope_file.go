package lead

import (
	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/internal/ctl/files"
)

// LoadEnvelope reads an envelope and its manifest without checking signatures.
// It returns a *files.Error, which wraps the decoding error of a malformed file.
func LoadEnvelope(path string) (*manifest.Envelope, *manifest.Manifest, error) {
	raw, err := files.Read(path)
	if err != nil {
		return nil, nil, err
	}
	env, err := manifest.DecodeEnvelope(raw)
	if err != nil {
		return nil, nil, &files.Error{Op: "parse", Path: path, Err: err}
	}
	m, err := manifest.Decode(env.Manifest)
	if err != nil {
		return nil, nil, &files.Error{Op: "parse", Path: path, Err: err}
	}
	return env, m, nil
}

// SaveEnvelope writes an envelope. It returns a *files.Error, or a
// *manifest.MalformedError if the platform could not store the envelope.
func SaveEnvelope(path string, env *manifest.Envelope) error {
	raw, err := env.Encode()
	if err != nil {
		return &files.Error{Op: "encode", Path: path, Err: err}
	}
	if len(raw) > manifest.MaxEnvelopeBytes {
		return &manifest.MalformedError{Part: "envelope: larger than the maximum size of a platform value"}
	}
	return files.Write(path, raw, 0o644)
}
