package snapshot_test

import (
	"errors"
	"sync"
	"testing"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/internal/testkit"
	"github.com/filbertpier/filbertpier/snapshot"
)

func buildSnapshot(t *testing.T, version uint64, sections []config.Section) *snapshot.Snapshot {
	t.Helper()
	p := testkit.NewPublisher()
	s, err := snapshot.Build(p.Keys(), p.SignedByBothLeads(version, sections), testkit.SectionSource(sections))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a store that returns to an older version, also when several
// goroutines apply versions concurrently.
func TestStoreMovesForwardOnly(t *testing.T) {
	store := snapshot.NewStore()
	var wg sync.WaitGroup
	for version := uint64(1); version <= 16; version++ {
		next := buildSnapshot(t, version, testkit.Sections(int(version), "recall"))
		wg.Add(1)
		go func() {
			defer wg.Done()
			before := store.CurrentID()
			_ = store.Apply(next)
			if after := store.CurrentID(); after.Less(before) || after.Less(next.ID) {
				t.Errorf("store has version %d after applying %d, want the newest version so far", after.Version, next.ID.Version)
			}
		}()
	}
	wg.Wait()
	var notNewer *snapshot.NotNewerError
	if err := store.Apply(buildSnapshot(t, 3, testkit.Sections(3, "recall"))); !errors.As(err, &notNewer) {
		t.Fatalf("older version: got %v, want NotNewerError", err)
	}
}

// Guards against nodes that never converge after two documents were signed with
// the same version number.
func TestEqualVersionNumbersConvergeOnOneDigest(t *testing.T) {
	a := buildSnapshot(t, 5, testkit.Sections(1, "recall"))
	b := buildSnapshot(t, 5, testkit.Sections(2, "recall"))
	first, second := snapshot.NewStore(), snapshot.NewStore()
	_, _ = first.Apply(a), first.Apply(b)
	_, _ = second.Apply(b), second.Apply(a)
	if first.CurrentID() != second.CurrentID() {
		t.Fatalf("stores diverge: %s and %s", first.CurrentID(), second.CurrentID())
	}
}

// Guards against a snapshot of a version that lacks a signature or a section, or
// whose document is invalid.
func TestBuildRefusesIncompleteVersions(t *testing.T) {
	p := testkit.NewPublisher()
	sections := testkit.Sections(1, "recall")
	var signature *manifest.SignatureError
	for _, lead := range manifest.Leads() {
		_, err := snapshot.Build(p.Keys(), p.Envelope(1, sections, lead), testkit.SectionSource(sections))
		if !errors.As(err, &signature) || signature.Lead == lead {
			t.Errorf("only %s signed: got %v, want SignatureError of the other lead", lead, err)
		}
	}
	var missing *snapshot.MissingSectionsError
	if _, err := snapshot.Build(p.Keys(), p.SignedByBothLeads(1, sections), testkit.SectionSource(sections[1:])); !errors.As(err, &missing) {
		t.Errorf("section missing: got %v, want MissingSectionsError", err)
	}
	var invalid *config.InvalidDocumentError
	if _, err := snapshot.Build(p.Keys(), p.SignedByBothLeads(1, sections[1:]), testkit.SectionSource(sections)); !errors.As(err, &invalid) {
		t.Errorf("invalid document: got %v, want InvalidDocumentError", err)
	}
}
