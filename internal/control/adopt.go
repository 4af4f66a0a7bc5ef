package control

import (
	"errors"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/internal/spread"
	"github.com/filbertpier/filbertpier/snapshot"
)

// adopt builds and verifies a version, puts it in force and announces it to
// peers. A section that is not passed in is taken from the versions held. It
// reports whether the version was put in force.
func (a *Agent) adopt(now time.Time, env *manifest.Envelope, sections map[manifest.Digest][]byte, origin spread.Origin, out *effects) bool {
	source := func(d manifest.Digest) ([]byte, bool) {
		if data, ok := sections[d]; ok {
			return data, true
		}
		return a.store.Section(d)
	}
	snap, err := snapshot.Build(a.cfg.Keys, env, source)
	if err != nil {
		a.refuse(env, err, out)
		return false
	}
	previous := a.store.CurrentID()
	if err := a.store.Apply(snap); err != nil {
		return false
	}
	a.checkAdopted(previous, snap)
	a.transfers.dropUpTo(snap.ID)
	out.log(effect.EventVersionAdopted, "version", snap.ID.Version, "digest", snap.ID.Digest.String(), "origin", origin)
	self := a.self.Get()
	for _, t := range spread.Targets(a.table.View(now), self, versionSeed(snap.ID), origin, a.rng.Fork()) {
		out.send(self, t, &message.Announce{VM: self.VM, ID: snap.ID})
	}
	return true
}

// refuse logs a version that failed verification, and records one with invalid
// content so that it is not fetched again. A version that only lacks sections
// is not refused but stays pending.
func (a *Agent) refuse(env *manifest.Envelope, err error, out *effects) {
	var missing *snapshot.MissingSectionsError
	if errors.As(err, &missing) {
		return
	}
	var invalid *config.InvalidDocumentError
	if errors.As(err, &invalid) {
		if m, decodeErr := manifest.Decode(env.Manifest); decodeErr == nil {
			id := snapshot.ID{Version: m.Version, Digest: env.Digest()}
			a.refusedVersions.Add(id, err)
			a.transfers.drop(id)
		}
	}
	out.log(effect.EventVersionRefused, "digest", env.Digest().String(), "error", err.Error())
}
