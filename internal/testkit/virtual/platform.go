package virtual

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/platform"
)

// Platform is a fake platform that keeps its values in memory. It is not safe for
// concurrent use.
type Platform struct {
	clock  *Clock
	values map[string][]revision
	vms    []platform.VM
	// revision is the number of the last published value or VM list.
	revision uint64
	// Outage makes new reads fail with status 503.
	Outage bool
	// Staleness delays reads of values: they return the newest value that was
	// published at least this long ago. The VM list is always visible at once. A
	// change of Staleness does not complete pending watches.
	Staleness time.Duration
	// Calls counts all reads, including failed ones; CallsBySecond counts them by
	// the Unix second of the virtual clock.
	Calls         int
	CallsBySecond map[int64]int
	watchers      []func()
}

func newPlatform(clock *Clock) *Platform {
	return &Platform{clock: clock, values: map[string][]revision{}, CallsBySecond: map[int64]int{}}
}

// Put publishes a value, which becomes visible after Staleness.
func (p *Platform) Put(key string, data []byte) {
	p.revision++
	p.values[key] = append(p.values[key], revision{p.revision, data, p.clock.Now()})
	p.clock.AfterFunc(p.Staleness, p.notifyWatchers)
}

// PutVMs publishes the VM list.
func (p *Platform) PutVMs(vms []platform.VM) { p.vms = vms; p.revision++ }

// MaxCallsPerSecond returns the largest number of reads in one second.
func (p *Platform) MaxCallsPerSecond() int {
	highest := 0
	for _, n := range p.CallsBySecond {
		highest = max(highest, n)
	}
	return highest
}

func (p *Platform) notifyWatchers() {
	watchers := p.watchers
	p.watchers = nil
	for _, f := range watchers {
		f()
	}
}

func (p *Platform) latestVisible(key string) (revision, bool) {
	revisions := p.values[key]
	for i := len(revisions) - 1; i >= 0; i-- {
		if !revisions[i].publishedAt.Add(p.Staleness).After(p.clock.Now()) {
			return revisions[i], true
		}
	}
	return revision{}, false
}

// read calls done with the result of a read: at once, or at the end of a watch.
func (p *Platform) read(r effect.ReadPlatform, done func(effect.PlatformResult)) {
	p.Calls++
	p.CallsBySecond[p.clock.Now().Unix()]++
	result := effect.PlatformResult{Read: r}
	if p.Outage {
		result.Err = &platform.UnavailableError{Key: r.Query.String(), Status: 503}
		done(result)
		return
	}
	switch r.Query {
	case effect.QueryVMList:
		result.VMs, result.Revision = p.vms, p.revision
		done(result)
	case effect.QuerySection:
		p.readValue(result, platform.SectionKey(r.Section), done)
	case effect.QueryManifest:
		p.watch(result, p.clock.Now().Add(r.Wait), done)
	}
}

func (p *Platform) readValue(result effect.PlatformResult, key string, done func(effect.PlatformResult)) {
	v, ok := p.latestVisible(key)
	if !ok {
		result.Err = &platform.NotFoundError{Key: key}
	}
	result.Revision, result.Value = v.number, v.data
	done(result)
}

// watch completes a manifest read as soon as a newer revision is visible, or at
// the deadline with Unchanged set. Without Wait it reads the value at once.
func (p *Platform) watch(result effect.PlatformResult, deadline time.Time, done func(effect.PlatformResult)) {
	if result.Read.Wait == 0 {
		p.readValue(result, platform.ManifestKey, done)
		return
	}
	finished := false
	completeIfNewer := func() bool {
		v, ok := p.latestVisible(platform.ManifestKey)
		if finished || !ok || v.number <= result.Read.AfterRevision {
			return finished
		}
		finished = true
		result.Revision, result.Value = v.number, v.data
		done(result)
		return true
	}
	if completeIfNewer() {
		return
	}
	var onPublish func()
	onPublish = func() {
		if !completeIfNewer() {
			p.watchers = append(p.watchers, onPublish)
		}
	}
	p.watchers = append(p.watchers, onPublish)
	p.clock.AfterFunc(deadline.Sub(p.clock.Now()), func() {
		if finished {
			return
		}
		finished = true
		v, _ := p.latestVisible(platform.ManifestKey)
		result.Unchanged, result.Revision = true, v.number
		done(result)
	})
}
