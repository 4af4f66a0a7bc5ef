package control

import (
	"slices"
	"time"

	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/snapshot"
)

// transfer is the state of fetching one version.
type transfer struct {
	id       snapshot.ID
	sources  []string
	next     int
	attempts int
	// due is when the current attempt counts as failed. A timer that fires
	// earlier belongs to an attempt that another one replaced.
	due time.Time
	// near is how near the nearest holder is that was asked.
	near nearness
	// envelope, manifest and sections hold what came from the platform.
	envelope *manifest.Envelope
	manifest *manifest.Manifest
	sections map[manifest.Digest][]byte
	// reading holds when reads of sections started.
	reading map[manifest.Digest]time.Time
}

// missing returns the sections that neither the transfer nor held has.
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

// nextReads returns the missing sections to read now and notes that they are
// being read.
func (t *transfer) nextReads(now time.Time, held func(manifest.Digest) bool) []manifest.Digest {
	if t.reading == nil {
		t.reading = map[manifest.Digest]time.Time{}
	}
	pending := 0
	var out []manifest.Digest
	for _, d := range t.missing(held) {
		if at, ok := t.reading[d]; ok && now.Sub(at) < sectionReadRetry {
			pending++
			continue
		}
		out = append(out, d)
	}
	out = out[:min(len(out), max(0, maxSectionReads-pending))]
	for _, d := range out {
		t.reading[d] = now
	}
	return out
}

func (t *transfer) addSource(vm string) {
	if vm != "" && len(t.sources) < maxTransferSources && !slices.Contains(t.sources, vm) {
		t.sources = append(t.sources, vm)
	}
}

// preferLast makes the source added last the next one asked.
func (t *transfer) preferLast() {
	if len(t.sources) > 0 {
		t.next = len(t.sources) - 1
	}
}

// nextSource returns the sources in turn, or an empty string.
func (t *transfer) nextSource() string {
	if len(t.sources) == 0 {
		return ""
	}
	vm := t.sources[t.next%len(t.sources)]
	t.next++
	return vm
}
