package manifest_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/internal/testkit"
)

func signedEnvelope(t testing.TB) *manifest.Envelope {
	t.Helper()
	return testkit.NewPublisher().SignedByBothLeads(3, testkit.Sections(1, "recall"))
}

// Guards against a signed manifest that two parsers read differently, or that
// makes nodes fetch more sections than they have memory for.
func TestDecodeRefusesMalformedManifests(t *testing.T) {
	valid := string(signedEnvelope(t).Manifest)
	if _, err := manifest.Decode([]byte(valid)); err != nil {
		t.Fatal(err)
	}
	ref := valid[strings.Index(valid, "{\"name\""):strings.Index(valid, "},")]
	size := ref[strings.Index(ref, `"size"`):]
	padding := strings.Repeat("x", manifest.MaxEnvelopeBytes)
	var sections []string
	for i := range 5 {
		sections = append(sections, fmt.Sprintf(`{"name":"s%d","owner":"o","digest":%q,"size":1000000}`, i, manifest.Sum(nil)))
	}
	for name, raw := range map[string]string{
		"empty":             "",
		"trailing bytes":    valid + " ",
		"unknown member":    strings.Replace(valid, `{"version"`, `{"x":1,"version"`, 1),
		"repeated member":   strings.Replace(valid, `{"version":3`, `{"version":9,"version":3`, 1),
		"other letter case": strings.Replace(valid, `"version"`, `"Version"`, 1),
		"version 0":         strings.Replace(valid, `"version":3`, `"version":0`, 1),
		"no sections":       `{"version":3,"sections":[]}`,
		"no section name":   strings.Replace(valid, `"name":"ranks"`, `"name":""`, 1),
		"same section":      strings.Replace(valid, `"name":"ranks"`, `"name":"recall"`, 1),
		"empty section":     strings.Replace(valid, size, `"size":0`, 1),
		"large section":     strings.Replace(valid, size, `"size":1000001`, 1),
		"large document":    `{"version":3,"sections":[` + strings.Join(sections, ",") + `]}`,
		"short digest":      `{"version":3,"sections":[{"name":"a","owner":"o","digest":"00","size":1}]}`,
		"large manifest":    valid + padding,
	} {
		var malformed *manifest.MalformedError
		if _, err := manifest.Decode([]byte(raw)); raw == valid || !errors.As(err, &malformed) {
			t.Errorf("%s: got %v, want MalformedError", name, err)
		}
	}
}

// Guards against envelopes with extra or malformed signatures or with trailing
// bytes, which nodes would forward to their peers.
func TestDecodeEnvelopeRefusesExtraSignatures(t *testing.T) {
	env := signedEnvelope(t)
	product, operations := env.Signatures[0], env.Signatures[1]
	unknownLead, shortValue, longKeyID := product, product, product
	unknownLead.Lead = "finance"
	shortValue.Value = shortValue.Value[1:]
	longKeyID.KeyID = strings.Repeat("k", 1000)
	for name, signatures := range map[string][]manifest.Signature{
		"three": {product, operations, unknownLead}, "unknown lead": {unknownLead}, "same lead": {product, product},
		"short value": {shortValue}, "long key ID": {longKeyID},
	} {
		raw, err := (&manifest.Envelope{Manifest: env.Manifest, Signatures: signatures}).Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := testkit.NewPublisher().Keys().Verify(&manifest.Envelope{Manifest: env.Manifest, Signatures: signatures}); err == nil {
			t.Errorf("%s: envelope verifies", name)
		}
		var malformed *manifest.MalformedError
		if _, err := manifest.DecodeEnvelope(raw); !errors.As(err, &malformed) {
			t.Errorf("%s: got %v, want MalformedError", name, err)
		}
	}
	raw, _ := env.Encode()
	for _, tail := range []string{"{}", strings.Repeat(" ", manifest.MaxEnvelopeBytes)} {
		if _, err := manifest.DecodeEnvelope(append(bytes.Clone(raw), tail...)); err == nil {
			t.Errorf("accepted an envelope followed by %.10q", tail)
		}
	}
}

// Guards against a panic on arbitrary bytes and against a second accepted
// encoding of the same manifest.
func FuzzDecode(f *testing.F) {
	f.Add(signedEnvelope(f).Manifest)
	f.Add([]byte(`{"version":1,"sections":[{"name":"a","owner":"o","digest":"00","size":1}]}`))
	f.Add([]byte(`{"version":1,"Version":2,"sections":null}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := manifest.Decode(raw)
		if err != nil {
			return
		}
		if encoded, err := m.Encode(); err != nil || !bytes.Equal(encoded, raw) {
			t.Fatalf("%q encodes as %q, %v", raw, encoded, err)
		}
	})
}

// Guards against a panic on arbitrary bytes and against a modified envelope that
// still verifies.
func FuzzDecodeEnvelope(f *testing.F) {
	valid := signedEnvelope(f)
	raw, err := valid.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(`{"manifest":"","signatures":[]}`))
	f.Add([]byte(`{"manifest":"e30=","signatures":[{"lead":"product","keyId":"","value":""}]}`))
	keys := testkit.NewPublisher().Keys()
	f.Fuzz(func(t *testing.T, raw []byte) {
		env, err := manifest.DecodeEnvelope(raw)
		if err != nil {
			return
		}
		if _, err := keys.Verify(env); err == nil && env.Digest() != valid.Digest() {
			t.Fatalf("verified an envelope whose manifest was not signed: %q", raw)
		}
	})
}
