package control

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/internal/spread"
	"github.com/filbertpier/filbertpier/snapshot"
)

// fetchVersion starts a transfer of a version that the node needs, or adds vm
// as a source to the one under way. vm is empty if no holder is known.
func (a *Agent) fetchVersion(now time.Time, id snapshot.ID, vm string, out *effects) {
	if !a.needsVersion(id, out) {
		return
	}
	if vm == "" && a.transfers.countWithoutSource() >= maxCallerTransfers {
		return
	}
	holderProximity := a.proximityOf(vm)
	created, pull := false, false
	delay := a.pullDelay(now, id, vm)
	a.transfers.withOrCreate(id, func(tr *transfer, isNew bool) {
		created = isNew
		tr.addSource(vm)
		// A transfer that waits for the platform or another gateway is resumed
		// at once when a nearer holder offers the version.
		pull = delay == 0 && (isNew || holderProximity > tr.nearestOffered)
		if delay == 0 && holderProximity > tr.nearestOffered {
			tr.nearestOffered = holderProximity
			tr.preferLast()
		}
	})
	if created {
		out.log(effect.EventTransferStarted, "version", id.Version, "from", vm)
	}
	if pull {
		a.pull(now, id, out)
	} else if created {
		out.startTimer(delay, effect.Timer{Kind: effect.TimerTransfer, SnapshotID: id})
	}
}

// needsVersion reports whether a version is newer than the one in force and was
// not refused. A second manifest with the version number in force is logged as
// a conflict.
func (a *Agent) needsVersion(id snapshot.ID, out *effects) bool {
	current := a.store.CurrentID()
	if id.Version == current.Version && id != current && !id.IsZero() {
		out.log(effect.EventVersionConflict, "version", id.Version, "digest", id.Digest.String(), "own_digest", current.Digest.String())
	}
	return current.Less(id) && !a.refusedVersions.Has(id)
}

func (a *Agent) proximityOf(vm string) proximity {
	m, ok := a.table.Get(vm)
	switch {
	case !ok:
		return unknownProximity
	case m.Region != a.self.Get().Region:
		return otherRegion
	default:
		return sameRegion
	}
}

// pullDelay returns how long to wait before the first pull. It is 0 if the
// holder is unknown or in the same region, or if this node is the first
// gateway. The other nodes wait, so that normally only one copy crosses into
// the region.
func (a *Agent) pullDelay(now time.Time, id snapshot.ID, vm string) time.Duration {
	self := a.self.Get()
	holder, ok := a.table.Get(vm)
	if !ok || holder.Region == self.Region {
		return 0
	}
	rank, gateway := spread.GatewayRank(a.table.View(now), self, versionSeed(id))
	switch {
	case gateway && rank == 0:
		return 0
	case gateway:
		return secondGatewayDelay
	default:
		return nonGatewayDelay + a.rng.Jitter(nonGatewayDelay/2)
	}
}

// pull requests a version from the next source and starts the retry timer.
func (a *Agent) pull(now time.Time, id snapshot.ID, out *effects) {
	self := a.self.Get()
	attempts, source, hasManifest := 0, "", false
	exists := a.transfers.withExisting(id, func(tr *transfer) {
		tr.attempts++
		attempts = tr.attempts
		source = tr.nextSource()
		hasManifest = tr.envelope != nil
	})
	if !exists {
		return
	}
	if attempts > maxTransferAttempts && !hasManifest {
		a.transfers.drop(id)
		out.log(effect.EventTransferAbandoned, "version", id.Version)
		return
	}
	if attempts == fallbackAttempt && source != "" {
		a.armFallback(now, true, out)
	}
	wait := transferRetry
	if attempts > maxTransferAttempts {
		wait = pendingVersionRetry
	}
	if target, ok := a.pullTarget(now, source, attempts, self); ok {
		if target.Region != self.Region {
			wait = max(wait, crossRegionTransferRetry)
		}
		out.send(self, target, &message.PullRequest{VM: self.VM, Want: id, Have: a.store.CurrentID()})
	}
	wait = a.rng.Jitter(wait)
	a.transfers.withExisting(id, func(tr *transfer) { tr.attemptDeadline = now.Add(wait) })
	out.startTimer(wait, effect.Timer{Kind: effect.TimerTransfer, SnapshotID: id})
}

// pullTarget returns the given source. Every third attempt, and each one whose
// source is unknown or dead, goes to a random peer of the region instead.
func (a *Agent) pullTarget(now time.Time, source string, attempts int, self member.Member) (member.Member, bool) {
	if m, ok := a.table.Get(source); ok && m.NotDead() && attempts%3 != 0 {
		return m, true
	}
	return a.randomPeer(a.table.View(now).Region(self.Region), self)
}

func (a *Agent) onTransferTimer(now time.Time, id snapshot.ID, out *effects) {
	if !a.store.CurrentID().Less(id) {
		a.transfers.drop(id)
		return
	}
	superseded := false
	a.transfers.withExisting(id, func(tr *transfer) { superseded = now.Before(tr.attemptDeadline) })
	if superseded {
		return
	}
	a.pull(now, id, out)
	a.readMissingSections(now, id, out)
}

// versionSeed returns the seed that gives each version its own dissemination
// tree. RendezvousWeight serves as a hash of the version here, not of a VM.
func versionSeed(id snapshot.ID) uint64 {
	return spread.RendezvousWeight(string(id.Digest[:]), id.Version)
}
