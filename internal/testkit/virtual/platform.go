package virtual

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/platform"
)

// Platform is a fake platform. It is not safe for concurrent use.
type Platform struct {
	clock  *Clock
	values map[string][]revision
	vms    []platform.VM
	number uint64
	// Outage makes all reads fail.
	Outage bool
	// Staleness makes values appear late.
	Staleness time.Duration
	// Calls counts reads; CallsBySecond by the second of the virtual clock.
	Calls         int
	CallsBySecond map[int64]int
	waiting       []func()
}

func newPlatform(clock *Clock) *Platform {
	return &Platform{clock: clock, values: map[string][]revision{}, CallsBySecond: map[int64]int{}}
}

// Put publishes a value.
func (p *Platform) Put(key string, data []byte) {
	p.number++
	p.values[key] = append(p.values[key], revision{p.number, data, p.clock.Now()})
	p.clock.After(p.Staleness, p.wake)
}

// PutVMs publishes the VM list.
func (p *Platform) PutVMs(vms []platform.VM) { p.vms = vms; p.number++ }

// MaxCallsPerSecond returns the largest number of reads in one second.
func (p *Platform) MaxCallsPerSecond() int {
	high := 0
	for _, n := range p.CallsBySecond {
		high = max(high, n)
	}
	return high
}

func (p *Platform) wake() {
	waiting := p.waiting
	p.waiting = nil
	for _, f := range waiting {
		f()
	}
}

func (p *Platform) visible(key string) (revision, bool) {
	revisions := p.values[key]
	for i := len(revisions) - 1; i >= 0; i-- {
		if !revisions[i].at.Add(p.Staleness).After(p.clock.Now()) {
			return revisions[i], true
		}
	}
	return revision{}, false
}

// read answers a query with done.
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
		ans.VMs, ans.Revision = p.vms, p.number
		done(ans)
	case effect.QuerySection:
		p.answer(ans, platform.SectionKey(r.Section), done)
	case effect.QueryManifest:
		p.watch(ans, p.clock.Now().Add(r.Wait), done)
	}
}

func (p *Platform) answer(ans effect.PlatformResult, key string, done func(effect.PlatformResult)) {
	v, ok := p.visible(key)
	if !ok {
		ans.Err = &platform.NotFoundError{Key: key}
	}
	ans.Revision, ans.Value = v.number, v.data
	done(ans)
}

// watch answers as soon as there is a newer revision, or at the deadline.
func (p *Platform) watch(ans effect.PlatformResult, deadline time.Time, done func(effect.PlatformResult)) {
	if ans.Read.Wait == 0 {
		p.answer(ans, platform.ManifestKey, done)
		return
	}
	finished := false
	try := func() bool {
		v, ok := p.visible(platform.ManifestKey)
		if finished || !ok || v.number <= ans.Read.AfterRevision {
			return finished
		}
		finished = true
		ans.Revision, ans.Value = v.number, v.data
		done(ans)
		return true
	}
	if try() {
		return
	}
	var wait func()
	wait = func() {
		if !try() {
			p.waiting = append(p.waiting, wait)
		}
	}
	p.waiting = append(p.waiting, wait)
	p.clock.After(deadline.Sub(p.clock.Now()), func() {
		if finished {
			return
		}
		finished = true
		v, _ := p.visible(platform.ManifestKey)
		ans.Unchanged, ans.Revision = true, v.number
		done(ans)
	})
}
