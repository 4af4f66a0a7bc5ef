package control

import (
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/snapshot"
)

// checkAdopted checks that adopting a version moved the version in force
// forward, and that each of its routes names a known service. previous is the
// version that was in force before the adoption.
func (a *Agent) checkAdopted(previous snapshot.ID, snap *snapshot.Snapshot) {
	current := a.store.CurrentID()
	a.cfg.Invariants.Check(previous.Less(snap.ID) && !current.Less(snap.ID), "version-forward",
		"version in force is %s after replacing %s with %s", current, previous, snap.ID)
	for _, r := range snap.Document.Routes() {
		a.checkRoute(snap, r)
	}
}

func (a *Agent) checkRoute(snap *snapshot.Snapshot, r *config.Route) {
	_, ok := snap.Document.Service(r.Service)
	a.cfg.Invariants.Check(ok, "route-known-service", "version %s: route %s refers to unknown service %s", snap.ID, r.Name, r.Service)
}

// checkServing checks that a ready node has a version in force and that this
// version is never older than at an earlier check.
func (a *Agent) checkServing(now time.Time) {
	if !a.Ready(now) {
		return
	}
	current := a.store.CurrentID()
	a.cfg.Invariants.Check(!current.IsZero(), "serving-joined", "ready with no version in force")
	if previous := a.lastReadyVersion.Load(); previous != nil && *previous == current {
		return
	}
	previous := a.lastReadyVersion.Swap(&current)
	if previous != nil && current.Less(*previous) {
		// Another goroutine may have stored a newer ID after current was read.
		current = a.store.CurrentID()
		a.cfg.Invariants.Check(!current.Less(*previous), "served-forward", "serving version %s after newer version %s", current, *previous)
	}
}
