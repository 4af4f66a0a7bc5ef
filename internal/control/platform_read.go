package control

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/reader"
)

// readIfDue starts the reads that this node is responsible for, and arms the
// fallback if nobody seems to read.
func (a *Agent) readIfDue(now time.Time, view *member.View, self member.Member, out *effects) {
	isReader := reader.IsReader(view, self, now)
	if !isReader {
		a.armFallback(now, false, out)
		return
	}
	p := &a.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.readerNotBefore) || len(view.All()) <= 1 && now.Before(p.aloneNotBefore) {
		return
	}
	near := self.Region == a.cfg.PlatformRegion
	if near || a.mustReadFar(now) {
		a.watchManifest(now, out)
	}
	a.readList(now, near, out)
}

// armFallback starts the random delay before a read outside the node's turn, if
// nobody seems to read or the read is wanted for a version.
func (a *Agent) armFallback(now time.Time, wanted bool, out *effects) {
	known := len(a.table.View(now).All())
	p := &a.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.fallbackNotBefore) || known <= 1 && now.Before(p.aloneNotBefore) {
		return
	}
	p.fallbackWanted = p.fallbackWanted || wanted
	if p.fallbackArmed || !wanted && now.Sub(p.lastSeen) <= reader.StaleAfter {
		return
	}
	p.fallbackArmed = true
	out.timer(reader.FallbackDelay(known, a.rng.Fork()), effect.Timer{Kind: effect.TimerFallback})
}

// mustReadFar reports whether the readers of another region than the platform's
// must watch it themselves. As long as heartbeats tell of fresh reads they do
// not, since each watch carries the whole manifest across regions, several times
// what a change costs between nodes. The caller holds platform.mu.
func (a *Agent) mustReadFar(now time.Time) bool {
	p := &a.platform
	if p.lastSeen.IsZero() {
		return true
	}
	if now.Sub(p.lastSeen) > reader.StaleAfter {
		p.readFarUntil = now.Add(farWatchTime)
	}
	return now.Before(p.readFarUntil)
}

// watchManifest keeps one watch open. The caller holds platform.mu.
func (a *Agent) watchManifest(now time.Time, out *effects) {
	p := &a.platform
	lost := now.Sub(p.manifestPending) > 2*watchWait
	if (!p.manifestPending.IsZero() && !lost) || now.Before(p.manifestNotBefore) {
		return
	}
	p.manifestPending = now
	out.read(effect.ReadPlatform{Query: effect.QueryManifest, AfterRevision: p.manifestRevision, Wait: watchWait})
}

// readList reads the VM list from time to time. The caller holds platform.mu.
func (a *Agent) readList(now time.Time, near bool, out *effects) {
	p := &a.platform
	interval := vmListInterval
	if !near {
		interval = vmListIntervalFar
	}
	if now.Sub(p.listPending) < interval || now.Before(p.listNotBefore) {
		return
	}
	p.listPending = now
	out.read(effect.ReadPlatform{Query: effect.QueryVMList, AfterRevision: p.listRevision})
}

// onFallbackTimer reads once unless another node was faster.
func (a *Agent) onFallbackTimer(now time.Time, out *effects) {
	p := &a.platform
	p.mu.Lock()
	stale := p.fallbackWanted || now.Sub(p.lastSeen) > reader.StaleAfter
	p.fallbackArmed, p.fallbackWanted = false, false
	p.mu.Unlock()
	if !stale {
		return
	}
	out.log(effect.EventFallbackRead)
	out.read(effect.ReadPlatform{Query: effect.QueryManifest})
	if a.alone(now) {
		out.read(effect.ReadPlatform{Query: effect.QueryVMList})
	}
}

func (a *Agent) alone(now time.Time) bool { return len(a.table.View(now).All()) <= 1 }
