package control

import (
	"slices"
	"time"

	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/snapshot"
)

// transfer is the state of fetching one version.
type transfer struct {
	id        snapshot.ID
	sources   []string
	nextIndex int
	attempts  int
	// attemptDeadline is when the current attempt counts as failed. A timer
	// that fires earlier belongs to an attempt that has been superseded.
	attemptDeadline time.Time
	// nearestOffered is the proximity of the nearest holder that was asked as
	// soon as it offered the version.
	nearestOffered proximity
	// envelope, manifest and sections hold the content read from the platform.
	envelope *manifest.Envelope
	manifest *manifest.Manifest
	sections map[manifest.Digest][]byte
	// readStarted holds the start times of section reads.
	readStarted map[manifest.Digest]time.Time
}

// missing returns the digests of the sections that are neither in the transfer
// nor reported by held.
func (t *transfer) missing(held func(manifest.Digest) bool) []manifest.Digest {
	if t.manifest == nil {
		return nil
	}
	var out []manifest.Digest
	for _, ref := range t.manifest.Sections {
		if _, ok := t.sections[ref.Digest]; !ok && !held(ref.Digest) {
			out = append(out, ref.Digest)
		}
	}
	return out
}

// nextReads returns the missing sections to read now and records the start of
// their reads.
func (t *transfer) nextReads(now time.Time, held func(manifest.Digest) bool) []manifest.Digest {
	if t.readStarted == nil {
		t.readStarted = map[manifest.Digest]time.Time{}
	}
	pending := 0
	var out []manifest.Digest
	for _, d := range t.missing(held) {
		if started, ok := t.readStarted[d]; ok && now.Sub(started) < sectionReadRetry {
			pending++
			continue
		}
		out = append(out, d)
	}
	out = out[:min(len(out), max(0, maxSectionReads-pending))]
	for _, d := range out {
		t.readStarted[d] = now
	}
	return out
}

func (t *transfer) addSource(vm string) {
	if vm != "" && len(t.sources) < maxTransferSources && !slices.Contains(t.sources, vm) {
		t.sources = append(t.sources, vm)
	}
}

// preferLast makes the most recently added source the next one to ask.
func (t *transfer) preferLast() {
	if len(t.sources) > 0 {
		t.nextIndex = len(t.sources) - 1
	}
}

// nextSource returns the sources in rotation, or an empty string if there are
// none.
func (t *transfer) nextSource() string {
	if len(t.sources) == 0 {
		return ""
	}
	vm := t.sources[t.nextIndex%len(t.sources)]
	t.nextIndex++
	return vm
}
