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
	pemType          = "PRIVATE KEY"
	pemLeadHeader    = "Lead"
	privateKeySuffix = ".key"
	publicKeySuffix  = ".pub"
)

// Key is a lead's private key. Formatting or marshalling it as text yields only
// its role and key id.
type Key struct {
	Lead    manifest.Lead
	private ed25519.PrivateKey
}

// NewKey generates a key for a lead. It returns a *files.Error.
func NewKey(lead manifest.Lead) (*Key, error) {
	_, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, &files.Error{Op: "generate", Path: "key", Err: err}
	}
	return &Key{Lead: lead, private: private}, nil
}

// Public returns the public key, which verifies the signatures of k.
func (k *Key) Public() ed25519.PublicKey { return k.private.Public().(ed25519.PublicKey) }

// Format implements fmt.Formatter: no verb may print the private key.
func (k *Key) Format(s fmt.State, _ rune) {
	_, _ = fmt.Fprintf(s, "%s lead key %s", k.Lead, manifest.KeyID(k.Public()))
}

// MarshalText implements encoding.TextMarshaler with the text of Format, so that
// encoders do not write the private key either.
func (k *Key) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%v", k), nil }

// Save writes base+".key", readable by the owner only, and base+".pub". It
// overwrites no file, because a lost private key cannot be recovered.
func (k *Key) Save(base string) error {
	der, err := x509.MarshalPKCS8PrivateKey(k.private)
	if err != nil {
		return &files.Error{Op: "encode", Path: base + privateKeySuffix}
	}
	block := pem.EncodeToMemory(&pem.Block{Type: pemType, Headers: map[string]string{pemLeadHeader: string(k.Lead)}, Bytes: der})
	if err := files.Create(base+privateKeySuffix, block, 0o600); err != nil {
		return err
	}
	if err := files.Create(base+publicKeySuffix, []byte(base64.StdEncoding.EncodeToString(k.Public())+"\n"), 0o644); err != nil {
		// A private key file without its public key file is useless, and would
		// make the next attempt fail.
		_ = os.Remove(base + privateKeySuffix)
		return err
	}
	return nil
}

// LoadKey reads a private key file. It refuses a file that its group or others
// can access, with a *refusal.Error; other errors are *files.Error. They omit the
// cause of a decoding failure, because its text could contain parts of the key.
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
	lead := manifest.Lead(block.Headers[pemLeadHeader])
	if err != nil || !ok || !slices.Contains(manifest.Leads(), lead) {
		return nil, &files.Error{Op: "parse private key", Path: path}
	}
	return &Key{Lead: lead, private: private}, nil
}
