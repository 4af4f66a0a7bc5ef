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
	// Staleness is the time after which a published value becomes visible to
	// readers. The VM list is always visible at once.
	Staleness time.Duration
	// Calls counts all reads; CallsBySecond counts them by the Unix second of the
	// virtual clock.
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
	high := 0
	for _, n := range p.CallsBySecond {
		high = max(high, n)
	}
	return high
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
	ans := effect.PlatformResult{Read: r}
	if p.Outage {
		ans.Err = &platform.UnavailableError{Key: r.Query.String(), Status: 503}
		done(ans)
		return
	}
	switch r.Query {
	case effect.QueryVMList:
		ans.VMs, ans.Revision = p.vms, p.revision
		done(ans)
	case effect.QuerySection:
		p.readValue(ans, platform.SectionKey(r.Section), done)
	case effect.QueryManifest:
		p.watch(ans, p.clock.Now().Add(r.Wait), done)
	}
}

func (p *Platform) readValue(ans effect.PlatformResult, key string, done func(effect.PlatformResult)) {
	v, ok := p.latestVisible(key)
	if !ok {
		ans.Err = &platform.NotFoundError{Key: key}
	}
	ans.Revision, ans.Value = v.number, v.data
	done(ans)
}

// watch completes a manifest read as soon as a newer revision is visible, or at
// the deadline with Unchanged set. Without Wait it reads the value at once.
func (p *Platform) watch(ans effect.PlatformResult, deadline time.Time, done func(effect.PlatformResult)) {
	if ans.Read.Wait == 0 {
		p.readValue(ans, platform.ManifestKey, done)
		return
	}
	finished := false
	completeIfNewer := func() bool {
		v, ok := p.latestVisible(platform.ManifestKey)
		if finished || !ok || v.number <= ans.Read.AfterRevision {
			return finished
		}
		finished = true
		ans.Revision, ans.Value = v.number, v.data
		done(ans)
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
		ans.Unchanged, ans.Revision = true, v.number
		done(ans)
	})
}
