package main

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/internal/ctl"
	"github.com/filbertpier/filbertpier/internal/platform"
	"github.com/filbertpier/filbertpier/internal/testkit"
	"github.com/filbertpier/filbertpier/snapshot"
)

// bench is a folder in which commands run.
type bench struct {
	t   *testing.T
	dir string
	// output is everything that all commands printed.
	output bytes.Buffer
}

func newBench(t *testing.T) *bench {
	t.Chdir(t.TempDir())
	b := &bench{t: t, dir: "doc"}
	b.write("doc", 1)
	return b
}

// write puts a document of the test kit into a folder.
func (b *bench) write(dir string, generation int) {
	b.t.Helper()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		b.t.Fatal(err)
	}
	for _, s := range testkit.Sections(generation, "recall", "refunds") {
		b.put(filepath.Join(dir, s.Name+".jsonc"), string(s.Raw)+"\n")
	}
}

func (b *bench) put(path, text string) {
	b.t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		b.t.Fatal(err)
	}
}

func (b *bench) edit(path, old, text string) {
	b.t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil || !strings.Contains(string(raw), old) {
		b.t.Fatalf("%s lacks %q: %v", path, old, err)
	}
	b.put(path, strings.Replace(string(raw), old, text, 1))
}

// run expects an exit code and returns what the command printed.
func (b *bench) run(want ctl.ExitCode, line string) (stdout, stderr string) {
	b.t.Helper()
	var out, errs bytes.Buffer
	if got := run(strings.Fields(line), &out, &errs); got != int(want) {
		b.t.Fatalf("fpctl %s: exit code %d, want %d\n%s%s", line, got, want, out.String(), errs.String())
	}
	b.output.WriteString(out.String() + errs.String())
	return out.String(), errs.String()
}

func (b *bench) keys() {
	b.run(ctl.ExitOK, "keygen --lead product --out product")
	b.run(ctl.ExitOK, "keygen --lead operations --out operations")
}

const publicKeys = " --product product.pub --operations operations.pub "

func decodePublic(t *testing.T, text []byte) ed25519.PublicKey {
	t.Helper()
	key, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// accept has both leads sign a folder as env.json.
func (b *bench) accept(flags, dir, env string) {
	b.run(ctl.ExitOK, "accept --key product.key --out "+env+" "+flags+" "+dir)
	b.run(ctl.ExitOK, "accept --key operations.key --envelope "+env+" --out "+env+" "+dir)
}

// Guards against a version that fpctl signs or publishes and that a node would
// then refuse, and against values published under other keys than nodes read.
func TestPublishedFilesAreWhatNodesRead(t *testing.T) {
	b := newBench(t)
	b.keys()
	b.run(ctl.ExitOK, "accept --key product.key --number 4 --out v4.json doc")
	b.run(ctl.ExitRefused, "verify --envelope v4.json"+publicKeys)
	b.run(ctl.ExitRefused, "publish-files --envelope v4.json --dir out"+publicKeys+"doc")
	b.run(ctl.ExitOK, "accept --key operations.key --envelope v4.json --out v4.json doc")
	b.run(ctl.ExitOK, "verify --envelope v4.json"+publicKeys+"doc")
	b.run(ctl.ExitOK, "publish-files --envelope v4.json --dir out"+publicKeys+"doc")

	raw, err := os.ReadFile(filepath.Join("out", platform.ManifestKey))
	if err != nil {
		t.Fatal(err)
	}
	env, err := manifest.DecodeEnvelope(raw)
	if err != nil {
		t.Fatal(err)
	}
	ring := manifest.KeyRing{}
	for _, role := range manifest.Leads() {
		key, err := os.ReadFile(string(role) + ".pub")
		if err != nil {
			t.Fatal(err)
		}
		ring[role] = append(ring[role], decodePublic(t, key))
	}
	snap, err := snapshot.Build(ring, env, func(d manifest.Digest) ([]byte, bool) {
		section, err := os.ReadFile(filepath.Join("out", platform.SectionKey(d)))
		return section, err == nil
	})
	if err != nil || snap.ID.Version != 4 {
		t.Fatalf("a node gets %v, %v", snap, err)
	}
}

// Guards against versions that do not grow, and against signing content other
// than what the lead has on disk or what nodes would refuse.
func TestAcceptRefuses(t *testing.T) {
	b := newBench(t)
	b.keys()
	b.run(ctl.ExitRefused, "accept --key product.key --out v.json doc")
	b.accept("--number 4", "doc", "v4.json")
	b.run(ctl.ExitRefused, "accept --key product.key --number 4 --previous v4.json --out v.json doc")
	b.write("other", 2)
	b.run(ctl.ExitRefused, "accept --key product.key --envelope v4.json --out v.json other")
	b.edit("doc/recall.jsonc", `"slots": 6`, `"slots": 0, "color": 1`)
	_, errs := b.run(ctl.ExitInvalid, "accept --key product.key --number 5 --out v.json doc")
	if !strings.Contains(errs, "recall:3: range") || !strings.Contains(errs, "recall:3: unknown-field") {
		t.Errorf("faults are not listed: %s", errs)
	}
	if err := os.Chmod("product.key", 0o640); err != nil {
		t.Fatal(err)
	}
	b.run(ctl.ExitRefused, "accept --key product.key --number 5 --out v.json other")
	if _, err := os.Stat("v.json"); err == nil {
		t.Error("a refused acceptance wrote an envelope")
	}
	if err := os.Chmod("product.key", 0o600); err != nil {
		t.Fatal(err)
	}
	// Rolling back publishes older sections under a greater version.
	b.accept("--previous v4.json", "other", "v5.json")
	b.run(ctl.ExitRefused, "publish-files --envelope v4.json --previous v5.json --dir out"+publicKeys+"doc")
}

// Guards against private keys in output, errors or files that others can read.
func TestPrivateKeysStayInTheirFile(t *testing.T) {
	b := newBench(t)
	b.keys()
	b.run(ctl.ExitFailure, "keygen --lead product --out product")
	b.put("half.pub", "")
	b.run(ctl.ExitFailure, "keygen --lead product --out half")
	if _, err := os.Stat("half.key"); err == nil {
		t.Error("a failed keygen left half a pair")
	}
	info, err := os.Stat("product.key")
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Fatalf("key file: %v, %v", info.Mode(), err)
	}
	raw, err := os.ReadFile("product.key")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	secret := lines[len(lines)-2]
	b.accept("--number 1", "doc", "v1.json")
	b.put("broken.key", strings.Replace(string(raw), "Lead: product", "Lead: nobody", 1))
	b.put("cut.key", string(raw[:len(raw)-10]))
	for _, name := range []string{"broken.key", "cut.key"} {
		if err := os.Chmod(name, 0o600); err != nil {
			t.Fatal(err)
		}
		b.run(ctl.ExitFailure, "accept --key "+name+" --number 1 --out v.json doc")
	}
	envelope, err := os.ReadFile("v1.json")
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(b.output.String(), secret) || bytes.Contains(envelope, []byte(secret)) {
		t.Error("the private key was printed or published")
	}
}

// Guards against sections of another team slipping in, and against owners that
// differ between the list, the text and the long document.
func TestOwnersAreEnforced(t *testing.T) {
	b := newBench(t)
	b.run(ctl.ExitOK, "assemble --out long.jsonc doc")
	b.run(ctl.ExitOK, "split --dir folder long.jsonc")
	b.run(ctl.ExitOK, "assemble --out again.jsonc folder")
	if out, _ := b.run(ctl.ExitOK, "diff long.jsonc again.jsonc"); !strings.HasPrefix(out, "0 sections and 0 effects") {
		t.Errorf("a round trip changes the document: %s", out)
	}
	b.edit("folder/recall.jsonc", `"slots": 6`, `"slots": 8`)
	b.run(ctl.ExitOK, "assemble --base doc --team recall-team --out again.jsonc folder")
	b.run(ctl.ExitRefused, "assemble --base doc --team refunds-team --out again.jsonc folder")
	out, _ := b.run(ctl.ExitOK, "diff doc folder")
	if !strings.Contains(out, "changed service recall (slots: 6 -> 8)") || !strings.Contains(out, "changed section recall") {
		t.Errorf("diff lacks the effect: %s", out)
	}
	b.edit("folder/recall.jsonc", `"owner": "recall-team"`, `"owner": "refunds-team"`)
	if out, _ := b.run(ctl.ExitInvalid, "check folder"); !strings.Contains(out, "section-owner") {
		t.Errorf("check misses the owner: %s", out)
	}
	b.put("folder/extra.jsonc", `{"section": "extra", "owner": "recall-team"}`)
	b.run(ctl.ExitRefused, "check folder")
}

// Guards against commands and exit codes that docs/cli.md leaves out.
func TestCommandsAreDocumented(t *testing.T) {
	raw, err := os.ReadFile("../../docs/cli.md")
	if err != nil {
		t.Fatal(err)
	}
	for name := range newApp(io.Discard, io.Discard).actions {
		if !strings.Contains(string(raw), "| `"+name) {
			t.Errorf("command %s is not documented", name)
		}
	}
	for code := ctl.ExitOK; code <= ctl.ExitFleet; code++ {
		if !strings.Contains(string(raw), fmt.Sprintf("| %d |", code)) {
			t.Errorf("exit code %d is not documented", code)
		}
	}
}

// Guards against output that tools cannot decode and against wrong exit codes
// for mistakes on the command line.
func TestOutputForTools(t *testing.T) {
	b := newBench(t)
	b.run(ctl.ExitUsage, "check --nonsense doc")
	b.run(ctl.ExitUsage, "nonsense")
	b.run(ctl.ExitFailure, "check missing")
	b.run(ctl.ExitRefused, "status")
	b.put("settings.jsonc", `{"vm": 1}`)
	if out, _ := b.run(ctl.ExitInvalid, "check-settings settings.jsonc"); !strings.Contains(out, "/vm: wrong-type") {
		t.Errorf("settings: %s", out)
	}
	b.put("bad.jsonc", "{\n")
	out, errs := b.run(ctl.ExitInvalid, "--output json check bad.jsonc")
	var result ctl.CheckResult
	var failure ctl.Failure
	if err := json.Unmarshal([]byte(out), &result); err != nil || result.Valid || len(result.Faults) != 1 {
		t.Errorf("stdout: %v, %s", err, out)
	}
	if err := json.Unmarshal([]byte(errs), &failure); err != nil || failure.ExitCode != ctl.ExitInvalid || len(failure.Faults) != 1 {
		t.Errorf("stderr: %v, %s", err, errs)
	}
}
