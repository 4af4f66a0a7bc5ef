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

func accepted(t testing.TB) *manifest.Envelope {
	t.Helper()
	return testkit.NewPublisher().Accepted(3, testkit.Sections(1, "recall"))
}

// Guards against a signed manifest that two readers understand differently, or
// that makes nodes fetch more than they may hold.
func TestDecodeRefusesMalformedManifests(t *testing.T) {
	good := string(accepted(t).Manifest)
	if _, err := manifest.Decode([]byte(good)); err != nil {
		t.Fatal(err)
	}
	ref := good[strings.Index(good, "{\"name\""):strings.Index(good, "},")]
	size := ref[strings.Index(ref, `"size"`):]
	huge := strings.Repeat("x", manifest.MaxEnvelopeBytes)
	var many []string
	for i := range 5 {
		many = append(many, fmt.Sprintf(`{"name":"s%d","owner":"o","digest":%q,"size":1000000}`, i, manifest.Sum(nil)))
	}
	for name, raw := range map[string]string{
		"empty":             "",
		"trailing bytes":    good + " ",
		"unknown member":    strings.Replace(good, `{"version"`, `{"x":1,"version"`, 1),
		"repeated member":   strings.Replace(good, `{"version":3`, `{"version":9,"version":3`, 1),
		"other letter case": strings.Replace(good, `"version"`, `"Version"`, 1),
		"version 0":         strings.Replace(good, `"version":3`, `"version":0`, 1),
		"no sections":       `{"version":3,"sections":[]}`,
		"no section name":   strings.Replace(good, `"name":"ranks"`, `"name":""`, 1),
		"same section":      strings.Replace(good, `"name":"ranks"`, `"name":"recall"`, 1),
		"empty section":     strings.Replace(good, size, `"size":0`, 1),
		"large section":     strings.Replace(good, size, `"size":1000001`, 1),
		"large document":    `{"version":3,"sections":[` + strings.Join(many, ",") + `]}`,
		"short digest":      `{"version":3,"sections":[{"name":"a","owner":"o","digest":"00","size":1}]}`,
		"large manifest":    good + huge,
	} {
		var malformed *manifest.MalformedError
		if _, err := manifest.Decode([]byte(raw)); raw == good || !errors.As(err, &malformed) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// Guards against envelopes that carry bytes nobody signed.
func TestDecodeEnvelopeRefusesExtraSignatures(t *testing.T) {
	env := accepted(t)
	product, operations := env.Signatures[0], env.Signatures[1]
	stranger, short, key := product, product, product
	stranger.Lead = "finance"
	short.Value = short.Value[1:]
	key.KeyID = strings.Repeat("k", 1000)
	for name, signatures := range map[string][]manifest.Signature{
		"three": {product, operations, stranger}, "unknown lead": {stranger}, "same lead": {product, product},
		"short value": {short}, "long key id": {key},
	} {
		raw, err := (&manifest.Envelope{Manifest: env.Manifest, Signatures: signatures}).Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := testkit.NewPublisher().Keys().Verify(&manifest.Envelope{Manifest: env.Manifest, Signatures: signatures}); err == nil {
			t.Errorf("%s: verified", name)
		}
		var malformed *manifest.MalformedError
		if _, err := manifest.DecodeEnvelope(raw); !errors.As(err, &malformed) {
			t.Errorf("%s: got %v", name, err)
		}
	}
	raw, _ := env.Encode()
	for _, tail := range []string{"{}", strings.Repeat(" ", manifest.MaxEnvelopeBytes)} {
		if _, err := manifest.DecodeEnvelope(append(bytes.Clone(raw), tail...)); err == nil {
			t.Errorf("accepted an envelope followed by %.10q", tail)
		}
	}
}

// Guards against a decoder that panics or accepts two encodings of a manifest.
func FuzzDecode(f *testing.F) {
	f.Add(accepted(f).Manifest)
	f.Add([]byte(`{"version":1,"sections":[{"name":"a","owner":"o","digest":"00","size":1}]}`))
	f.Add([]byte(`{"version":1,"Version":2,"sections":null}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := manifest.Decode(raw)
		if err != nil {
			return
		}
		if again, err := m.Encode(); err != nil || !bytes.Equal(again, raw) {
			t.Fatalf("%q encodes as %q, %v", raw, again, err)
		}
	})
}

// Guards against a decoder that panics, and against an altered envelope that
// still verifies.
func FuzzDecodeEnvelope(f *testing.F) {
	good := accepted(f)
	raw, err := good.Encode()
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
		if _, err := keys.Verify(env); err == nil && env.Digest() != good.Digest() {
			t.Fatalf("verified an envelope that nobody signed: %q", raw)
		}
	})
}
