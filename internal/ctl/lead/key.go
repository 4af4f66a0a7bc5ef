package lead

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"fmt"
	"github.com/filbertpier/filbertpier/internal/ctl/files"
	"github.com/filbertpier/filbertpier/internal/ctl/refusal"
	"os"
	"slices"

	"github.com/filbertpier/filbertpier/config/manifest"
)

const (
	pemType   = "PRIVATE KEY"
	pemLead   = "Lead"
	keySuffix = ".key"
	pubSuffix = ".pub"
)

// Key is a lead's private key. All formats print only its role and key id.
type Key struct {
	Lead    manifest.Lead
	private ed25519.PrivateKey
}

// NewKey returns a new key.
func NewKey(lead manifest.Lead) (*Key, error) {
	_, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, &files.Error{Op: "generate", Path: "key", Err: err}
	}
	return &Key{Lead: lead, private: private}, nil
}

// Public returns the public key.
func (k *Key) Public() ed25519.PublicKey { return k.private.Public().(ed25519.PublicKey) }

// Format implements fmt.Formatter: no verb may print the private key.
func (k *Key) Format(s fmt.State, _ rune) {
	_, _ = fmt.Fprintf(s, "%s lead key %s", k.Lead, manifest.KeyID(k.Public()))
}

// MarshalText implements encoding.TextMarshaler in the same way.
func (k *Key) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%v", k), nil }

// Save writes base+".key", readable by the owner only, and base+".pub". It
// replaces no file: a lost private key cannot be made again.
func (k *Key) Save(base string) error {
	der, err := x509.MarshalPKCS8PrivateKey(k.private)
	if err != nil {
		return &files.Error{Op: "encode", Path: base + keySuffix}
	}
	block := pem.EncodeToMemory(&pem.Block{Type: pemType, Headers: map[string]string{pemLead: string(k.Lead)}, Bytes: der})
	if err := files.Create(base+keySuffix, block, 0o600); err != nil {
		return err
	}
	if err := files.Create(base+pubSuffix, []byte(base64.StdEncoding.EncodeToString(k.Public())+"\n"), 0o644); err != nil {
		// Half a pair is of no use, and would block the next attempt.
		_ = os.Remove(base + keySuffix)
		return err
	}
	return nil
}

// LoadKey reads a private key file. It refuses files that others may read.
// Errors leave out the cause of a decoding failure, which could quote the key.
func LoadKey(path string) (*Key, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, &files.Error{Op: "read", Path: path, Err: err}
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, &refusal.Error{Reason: refusal.ReasonKeyFileMode, Detail: fmt.Sprintf("%s has mode %04o", path, info.Mode().Perm()), Remedy: "set it to 0600"}
	}
	raw, err := files.Read(path)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(raw)
	if block == nil || block.Type != pemType {
		return nil, &files.Error{Op: "parse private key", Path: path}
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	private, ok := parsed.(ed25519.PrivateKey)
	lead := manifest.Lead(block.Headers[pemLead])
	if err != nil || !ok || !slices.Contains(manifest.Leads(), lead) {
		return nil, &files.Error{Op: "parse private key", Path: path}
	}
	return &Key{Lead: lead, private: private}, nil
}
