package control

import (
	"maps"
	"time"

	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/platform"
	"github.com/filbertpier/filbertpier/internal/spread"
	"github.com/filbertpier/filbertpier/snapshot"
)

func (a *Agent) onManifestAnswer(now time.Time, ans effect.PlatformResult, out *effects) {
	watch := ans.Read.Wait > 0
	if ans.Err != nil {
		a.finishManifestRead(watch, now.Add(a.rng.Jitter(platformBackoff)), nil)
		out.log(effect.EventPlatformReadFailed, "query", "manifest", "error", ans.Err.Error())
		return
	}
	a.platform.recordRead(now)
	continueAfter := nextWatchRevision(ans)
	a.finishManifestRead(watch, now, &continueAfter)
	if !ans.Unchanged {
		a.onPublishedManifest(now, ans.Value, out)
	}
	if watch {
		view, self := a.table.View(now), a.self.Get()
		a.startDueReads(now, view, self, out)
	}
}

// nextWatchRevision returns the revision from which the next read continues. It follows
// the platform's even if that decreases, since a restarted platform may count from the
// start again, and one that returned from an older copy gives revisions out again. If a
// read ended unchanged at a lower revision, the node does not know what the platform holds
// there: zero makes the next read return it at once.
func nextWatchRevision(ans effect.PlatformResult) uint64 {
	if ans.Unchanged && ans.Revision < ans.Read.AfterRevision {
		return 0
	}
	return ans.Revision
}

// finishManifestRead records the end of a manifest read. If it was a watch, the
// next one may start at notBefore. continueAfter is where it continues from; nil after a
// failure.
func (a *Agent) finishManifestRead(watch bool, notBefore time.Time, continueAfter *uint64) {
	p := &a.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	if continueAfter != nil {
		p.manifestRevision = *continueAfter
	}
	if watch {
		p.manifestWatchStarted = time.Time{}
		p.manifestNotBefore = notBefore
	}
}

// onPublishedManifest handles a manifest from the platform: its version is
// pending until all of its sections have arrived. A node with no version in
// force reads the missing sections at once, also outside the platform's region.
func (a *Agent) onPublishedManifest(now time.Time, raw []byte, out *effects) {
	env, err := manifest.DecodeEnvelope(raw)
	if err != nil {
		out.log(effect.EventVersionRefused, "error", err.Error())
		return
	}
	m, err := a.cfg.Keys.Verify(env)
	if err != nil {
		out.log(effect.EventVersionRefused, "digest", env.Digest().String(), "error", err.Error())
		return
	}
	id := snapshot.ID{Version: m.Version, Digest: env.Digest()}
	noVersion := a.store.Current() == nil
	if !a.needsVersion(id, out) {
		return
	}
	created := false
	a.transfers.withOrCreate(id, func(tr *transfer, isNew bool) {
		created = isNew
		tr.envelope, tr.manifest = env, m
		if tr.sections == nil {
			tr.sections = map[manifest.Digest][]byte{}
		}
	})
	if a.adopt(now, env, nil, spread.NewItem, out) {
		return
	}
	if a.self.Get().Region == a.cfg.PlatformRegion || noVersion {
		a.readMissingSections(now, id, out)
	}
	if created {
		out.startTimer(a.sectionFallbackDelay(now, id), effect.Timer{Kind: effect.TimerTransfer, SnapshotID: id})
	}
}

// sectionFallbackDelay returns the delay of the first transfer timer of a
// version whose manifest came from the platform. When it fires, the node pulls
// from peers and reads missing sections from the platform. In the platform's
// region those reads have already started, and the delay is the time until the
// unanswered ones are repeated.
func (a *Agent) sectionFallbackDelay(now time.Time, id snapshot.ID) time.Duration {
	self := a.self.Get()
	if self.Region == a.cfg.PlatformRegion {
		return crossRegionTransferRetry
	}
	if rank, ok := spread.GatewayRank(a.table.View(now), self, versionSeed(id)); ok && rank == 0 {
		return secondGatewayDelay
	}
	return nonGatewayDelay
}

// readMissingSections reads the missing sections of a pending version whose
// manifest came from the platform.
func (a *Agent) readMissingSections(now time.Time, id snapshot.ID, out *effects) {
	a.transfers.withExisting(id, func(tr *transfer) {
		for _, d := range tr.nextReads(now, a.holdsSection) {
			out.read(effect.ReadPlatform{Query: effect.QuerySection, Section: d, SnapshotID: id})
		}
	})
}

func (a *Agent) holdsSection(d manifest.Digest) bool {
	_, ok := a.store.Section(d)
	return ok
}

func (a *Agent) onSectionAnswer(now time.Time, ans effect.PlatformResult, out *effects) {
	id := ans.Read.SnapshotID
	if ans.Err != nil {
		out.log(effect.EventPlatformReadFailed, "query", "section", "section", ans.Read.Section.String(), "error", ans.Err.Error())
		return
	}
	if manifest.Sum(ans.Value) != ans.Read.Section {
		out.log(effect.EventSectionInvalid, "version", id.Version, "section", ans.Read.Section.String())
		return
	}
	var env *manifest.Envelope
	var sections map[manifest.Digest][]byte
	a.transfers.withExisting(id, func(tr *transfer) {
		if tr.envelope == nil {
			return
		}
		tr.sections[ans.Read.Section] = ans.Value
		if len(tr.missing(a.holdsSection)) == 0 {
			env, sections = tr.envelope, maps.Clone(tr.sections)
		}
	})
	if env == nil {
		a.readMissingSections(now, id, out)
		return
	}
	a.adopt(now, env, sections, spread.NewItem, out)
}

func (a *Agent) onVMListAnswer(now time.Time, ans effect.PlatformResult, out *effects) {
	p := &a.platform
	if ans.Err != nil {
		p.mu.Lock()
		p.vmListNotBefore = now.Add(a.rng.Jitter(platformBackoff))
		p.mu.Unlock()
		out.log(effect.EventPlatformReadFailed, "query", "vms", "error", ans.Err.Error())
		return
	}
	p.mu.Lock()
	p.vmListRevision = nextWatchRevision(ans)
	p.mu.Unlock()
	for _, vm := range ans.VMs {
		a.mergeListedVM(now, vm, out)
	}
}

// mergeListedVM merges an entry of the VM list. The list adds unknown VMs and
// marks leaving ones. It never marks a known member alive, because the list
// lags behind the fleet.
func (a *Agent) mergeListedVM(now time.Time, vm platform.VM, out *effects) {
	if vm.ID == a.self.Get().VM {
		// An older LeavingSince refers to an earlier process on the VM.
		if vm.State == platform.VMLeaving && vm.LeavingSince > int64(a.self.Get().Boot) && a.self.Get().Status != member.Leaving {
			a.broadcastMember(now, a.self.Leave(now.UnixMilli()), out)
		}
		return
	}
	held, known := a.table.Get(vm.ID)
	switch {
	case !known:
		status := member.Alive
		if vm.State == platform.VMLeaving {
			status = member.Leaving
		}
		// Not forwarded: each region reads the list itself, and after a mass
		// restart every reader would otherwise send the whole fleet to other
		// nodes.
		a.applyMember(now, member.Member{
			VM: vm.ID, Zone: vm.Zone, Region: vm.Region, Service: vm.Service,
			PeerAddr: vm.PeerAddr, CallAddr: vm.CallAddr, Status: status, ChangedAt: now.UnixMilli(),
		}, out)
	// As above, LeavingSince must be later than the start of the known process.
	case vm.State == platform.VMLeaving && held.Status < member.Leaving && vm.LeavingSince > int64(held.Boot):
		held.Status = member.Leaving
		held.ChangedAt = now.UnixMilli()
		a.broadcastMember(now, held, out)
	}
}
