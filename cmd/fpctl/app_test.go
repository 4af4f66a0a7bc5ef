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

// workspace runs commands in a temporary folder that holds a document.
type workspace struct {
	t   *testing.T
	dir string
	// output collects what all commands write to stdout and stderr.
	output bytes.Buffer
}

func newWorkspace(t *testing.T) *workspace {
	t.Chdir(t.TempDir())
	w := &workspace{t: t, dir: "doc"}
	w.writeDocument("doc", 1)
	return w
}

// writeDocument writes the section files of a testkit document to a folder.
func (w *workspace) writeDocument(dir string, generation int) {
	w.t.Helper()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		w.t.Fatal(err)
	}
	for _, s := range testkit.Sections(generation, "recall", "refunds") {
		w.writeFile(filepath.Join(dir, s.Name+".jsonc"), string(s.Raw)+"\n")
	}
}

func (w *workspace) writeFile(path, text string) {
	w.t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		w.t.Fatal(err)
	}
}

func (w *workspace) replaceInFile(path, old, text string) {
	w.t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil || !strings.Contains(string(raw), old) {
		w.t.Fatalf("%s does not contain %q: %v", path, old, err)
	}
	w.writeFile(path, strings.Replace(string(raw), old, text, 1))
}

// run executes a command line, fails the test unless the exit code is want, and
// returns the output.
func (w *workspace) run(want ctl.ExitCode, line string) (stdout, stderr string) {
	w.t.Helper()
	var out, errs bytes.Buffer
	if got := run(strings.Fields(line), &out, &errs); got != int(want) {
		w.t.Fatalf("fpctl %s: exit code %d, want %d\n%s%s", line, got, want, out.String(), errs.String())
	}
	w.output.WriteString(out.String() + errs.String())
	return out.String(), errs.String()
}

func (w *workspace) generateKeys() {
	w.run(ctl.ExitOK, "keygen --lead product --out product")
	w.run(ctl.ExitOK, "keygen --lead operations --out operations")
}

const publicKeyArgs = " --product product.pub --operations operations.pub "

func decodePublicKey(t *testing.T, text []byte) ed25519.PublicKey {
	t.Helper()
	key, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// acceptByBothLeads signs the document in dir with both leads' keys and writes
// the envelope to the file env.
func (w *workspace) acceptByBothLeads(flags, dir, env string) {
	w.run(ctl.ExitOK, "accept --key product.key --out "+env+" "+flags+" "+dir)
	w.run(ctl.ExitOK, "accept --key operations.key --envelope "+env+" --out "+env+" "+dir)
}

// Guards against fpctl signing or publishing a version that nodes refuse, and
// against publishing values under keys that nodes do not read.
func TestPublishedFilesAreWhatNodesRead(t *testing.T) {
	w := newWorkspace(t)
	w.generateKeys()
	w.run(ctl.ExitOK, "accept --key product.key --number 4 --out v4.json doc")
	w.run(ctl.ExitRefused, "verify --envelope v4.json"+publicKeyArgs)
	w.run(ctl.ExitRefused, "publish-files --envelope v4.json --dir out"+publicKeyArgs+"doc")
	w.run(ctl.ExitOK, "accept --key operations.key --envelope v4.json --out v4.json doc")
	w.run(ctl.ExitOK, "verify --envelope v4.json"+publicKeyArgs+"doc")
	w.run(ctl.ExitOK, "publish-files --envelope v4.json --dir out"+publicKeyArgs+"doc")

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
		ring[role] = append(ring[role], decodePublicKey(t, key))
	}
	snap, err := snapshot.Build(ring, env, func(d manifest.Digest) ([]byte, bool) {
		section, err := os.ReadFile(filepath.Join("out", platform.SectionKey(d)))
		return section, err == nil
	})
	if err != nil || snap.ID.Version != 4 {
		t.Fatalf("snapshot from the published files: %v, %v, want version 4", snap, err)
	}
}

// Guards against accepting a version that does not increase, an envelope for
// sections other than those on disk, a document that nodes refuse, or a private
// key file that others can read.
func TestAcceptRefuses(t *testing.T) {
	w := newWorkspace(t)
	w.generateKeys()
	w.run(ctl.ExitRefused, "accept --key product.key --out v.json doc")
	w.acceptByBothLeads("--number 4", "doc", "v4.json")
	w.run(ctl.ExitRefused, "accept --key product.key --number 4 --previous v4.json --out v.json doc")
	w.writeDocument("other", 2)
	w.run(ctl.ExitRefused, "accept --key product.key --envelope v4.json --out v.json other")
	w.replaceInFile("doc/recall.jsonc", `"slots": 6`, `"slots": 0, "color": 1`)
	_, errs := w.run(ctl.ExitInvalid, "accept --key product.key --number 5 --out v.json doc")
	if !strings.Contains(errs, "recall:3: range") || !strings.Contains(errs, "recall:3: unknown-field") {
		t.Errorf("stderr does not list the faults: %s", errs)
	}
	if err := os.Chmod("product.key", 0o640); err != nil {
		t.Fatal(err)
	}
	w.run(ctl.ExitRefused, "accept --key product.key --number 5 --out v.json other")
	if _, err := os.Stat("v.json"); err == nil {
		t.Error("a refused acceptance wrote an envelope")
	}
	if err := os.Chmod("product.key", 0o600); err != nil {
		t.Fatal(err)
	}
	// A rollback publishes older sections under a greater version.
	w.acceptByBothLeads("--previous v4.json", "other", "v5.json")
	w.run(ctl.ExitRefused, "publish-files --envelope v4.json --previous v5.json --dir out"+publicKeyArgs+"doc")
}

// Guards against leaking private keys in output, error messages, envelopes or
// files that others can read, and against keygen leaving an incomplete key pair.
func TestPrivateKeysStayInTheirFile(t *testing.T) {
	w := newWorkspace(t)
	w.generateKeys()
	w.run(ctl.ExitFailure, "keygen --lead product --out product")
	w.writeFile("half.pub", "")
	w.run(ctl.ExitFailure, "keygen --lead product --out half")
	if _, err := os.Stat("half.key"); err == nil {
		t.Error("keygen failed but left a private key file")
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
	w.acceptByBothLeads("--number 1", "doc", "v1.json")
	w.writeFile("broken.key", strings.Replace(string(raw), "Lead: product", "Lead: nobody", 1))
	w.writeFile("cut.key", string(raw[:len(raw)-10]))
	for _, name := range []string{"broken.key", "cut.key"} {
		if err := os.Chmod(name, 0o600); err != nil {
			t.Fatal(err)
		}
		w.run(ctl.ExitFailure, "accept --key "+name+" --number 1 --out v.json doc")
	}
	envelope, err := os.ReadFile("v1.json")
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(w.output.String(), secret) || bytes.Contains(envelope, []byte(secret)) {
		t.Error("the private key was printed or published")
	}
}

// Guards against a team changing the sections of another team, and against owners
// that differ between the owners file, the section text and the long document.
func TestOwnersAreEnforced(t *testing.T) {
	w := newWorkspace(t)
	w.run(ctl.ExitOK, "assemble --out long.jsonc doc")
	w.run(ctl.ExitOK, "split --dir folder long.jsonc")
	w.run(ctl.ExitOK, "assemble --out again.jsonc folder")
	if out, _ := w.run(ctl.ExitOK, "diff long.jsonc again.jsonc"); !strings.HasPrefix(out, "0 sections and 0 effects") {
		t.Errorf("splitting and assembling changed the document: %s", out)
	}
	w.replaceInFile("folder/recall.jsonc", `"slots": 6`, `"slots": 8`)
	w.run(ctl.ExitOK, "assemble --base doc --team recall-team --out again.jsonc folder")
	w.run(ctl.ExitRefused, "assemble --base doc --team refunds-team --out again.jsonc folder")
	out, _ := w.run(ctl.ExitOK, "diff doc folder")
	if !strings.Contains(out, "changed service recall (slots: 6 -> 8)") || !strings.Contains(out, "changed section recall") {
		t.Errorf("diff does not show the change of slots: %s", out)
	}
	w.replaceInFile("folder/recall.jsonc", `"owner": "recall-team"`, `"owner": "refunds-team"`)
	if out, _ := w.run(ctl.ExitInvalid, "check folder"); !strings.Contains(out, "section-owner") {
		t.Errorf("check does not report the wrong owner: %s", out)
	}
	w.writeFile("folder/extra.jsonc", `{"section": "extra", "owner": "recall-team"}`)
	w.run(ctl.ExitRefused, "check folder")
}

// Guards against commands and exit codes that are missing from docs/cli.md.
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

// Guards against JSON output that tools cannot decode and against wrong exit
// codes for invalid command lines, files and settings.
func TestOutputForTools(t *testing.T) {
	w := newWorkspace(t)
	w.run(ctl.ExitUsage, "check --nonsense doc")
	w.run(ctl.ExitUsage, "nonsense")
	w.run(ctl.ExitFailure, "check missing")
	w.run(ctl.ExitRefused, "status")
	w.writeFile("settings.jsonc", `{"vm": 1}`)
	if out, _ := w.run(ctl.ExitInvalid, "check-settings settings.jsonc"); !strings.Contains(out, "/vm: wrong-type") {
		t.Errorf("check-settings does not report the wrong type: %s", out)
	}
	w.writeFile("bad.jsonc", "{\n")
	out, errs := w.run(ctl.ExitInvalid, "--output json check bad.jsonc")
	var result ctl.CheckResult
	var failure ctl.Failure
	if err := json.Unmarshal([]byte(out), &result); err != nil || result.Valid || len(result.Faults) != 1 {
		t.Errorf("stdout: %v, %s", err, out)
	}
	if err := json.Unmarshal([]byte(errs), &failure); err != nil || failure.ExitCode != ctl.ExitInvalid || len(failure.Faults) != 1 {
		t.Errorf("stderr: %v, %s", err, errs)
	}
}
