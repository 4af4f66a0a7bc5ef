package control

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/reader"
)

// startDueReads starts the reads that this node is responsible for as a reader.
// A node that is not a reader arms the fallback read if the last known read is
// stale.
func (a *Agent) startDueReads(now time.Time, view *member.View, self member.Member, out *effects) {
	isReader := reader.IsReader(view, self, now)
	if !isReader {
		a.armFallback(now, false, out)
		return
	}
	p := &a.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.readerNotBefore) || len(view.All()) <= 1 && now.Before(p.isolatedNotBefore) {
		return
	}
	inPlatformRegion := self.Region == a.cfg.PlatformRegion
	if inPlatformRegion || a.updateCrossRegionWatch(now) {
		a.watchManifest(now, out)
	}
	a.readVMList(now, inPlatformRegion, out)
}

// armFallback starts the random delay before a fallback read, which any node
// may make, reader or not. It does so if the last known read is stale or if
// forced is set. The delay keeps all nodes from reading at once.
func (a *Agent) armFallback(now time.Time, forced bool, out *effects) {
	members := len(a.table.View(now).All())
	p := &a.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.fallbackNotBefore) || members <= 1 && now.Before(p.isolatedNotBefore) {
		return
	}
	p.fallbackForced = p.fallbackForced || forced
	if p.fallbackArmed || !forced && now.Sub(p.lastRead) <= reader.StaleAfter {
		return
	}
	p.fallbackArmed = true
	out.startTimer(reader.FallbackDelay(members, a.rng.Fork()), effect.Timer{Kind: effect.TimerFallback})
}

// updateCrossRegionWatch extends the time in which readers outside the
// platform's region watch the platform themselves, if the last known read is
// stale. It reports whether they must watch now, which they also must while no
// read is known. While reads are fresh they do not start to watch: a watch
// transfers the whole manifest between regions, several times the bytes of the
// delta that nodes exchange. The caller holds platform.mu.
func (a *Agent) updateCrossRegionWatch(now time.Time) bool {
	p := &a.platform
	if p.lastRead.IsZero() {
		return true
	}
	if now.Sub(p.lastRead) > reader.StaleAfter {
		p.crossRegionWatchUntil = now.Add(crossRegionWatchDuration)
	}
	return now.Before(p.crossRegionWatchUntil)
}

// watchManifest keeps one watch of the manifest open. The caller holds
// platform.mu.
func (a *Agent) watchManifest(now time.Time, out *effects) {
	p := &a.platform
	// A watch without an answer for twice its wait counts as lost.
	timedOut := now.Sub(p.manifestWatchStarted) > 2*manifestWatchWait
	if (!p.manifestWatchStarted.IsZero() && !timedOut) || now.Before(p.manifestNotBefore) {
		return
	}
	p.manifestWatchStarted = now
	out.read(effect.ReadPlatform{Query: effect.QueryManifest, AfterRevision: p.manifestRevision, Wait: manifestWatchWait})
}

// readVMList reads the VM list if the interval has passed. The caller holds
// platform.mu.
func (a *Agent) readVMList(now time.Time, inPlatformRegion bool, out *effects) {
	p := &a.platform
	interval := vmListInterval
	if !inPlatformRegion {
		interval = crossRegionVMListInterval
	}
	if now.Sub(p.vmListReadStarted) < interval || now.Before(p.vmListNotBefore) {
		return
	}
	p.vmListReadStarted = now
	out.read(effect.ReadPlatform{Query: effect.QueryVMList, AfterRevision: p.vmListRevision})
}

// onFallbackTimer reads the manifest if the last known read is still stale or
// the read was forced. A node that knows no other member also reads the VM
// list.
func (a *Agent) onFallbackTimer(now time.Time, out *effects) {
	p := &a.platform
	p.mu.Lock()
	needed := p.fallbackForced || now.Sub(p.lastRead) > reader.StaleAfter
	p.fallbackArmed, p.fallbackForced = false, false
	p.mu.Unlock()
	if !needed {
		return
	}
	out.log(effect.EventPlatformFallbackRead)
	out.read(effect.ReadPlatform{Query: effect.QueryManifest})
	if a.isIsolated(now) {
		out.read(effect.ReadPlatform{Query: effect.QueryVMList})
	}
}

// isIsolated reports whether the node knows no other member.
func (a *Agent) isIsolated(now time.Time) bool { return len(a.table.View(now).All()) <= 1 }
