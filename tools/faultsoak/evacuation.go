package main

import (
	"math/rand/v2"
	"time"
)

// Evacuations last at least as long as upstreams may get calls after the request, so
// that the check applies to a part of each.
const (
	minEvacuationPause = 3 * time.Second
	maxEvacuationPause = 9 * time.Second
	evacuationTime     = maxEvacuationDelay + time.Second
)

// evacuateZones evacuates one random zone after the other for d. It has random numbers
// of its own, so that the faults of a seed stay the same.
func (tb *testbed) evacuateZones(d time.Duration) {
	rng := rand.New(rand.NewPCG(tb.options.Seed, 3))
	for end := time.Now().Add(d); ; {
		pause(minEvacuationPause + time.Duration(rng.Int64N(int64(maxEvacuationPause-minEvacuationPause))))
		if time.Now().Add(evacuationTime).After(end) {
			return
		}
		zone := tb.vms[rng.IntN(len(tb.vms))].zone
		tb.store.Evacuate(zone, true)
		tb.setEvacuated(zone, time.Now())
		pause(evacuationTime)
		tb.setEvacuated(zone, time.Time{})
		tb.store.Evacuate(zone, false)
	}
}

// setEvacuated tells the upstreams of a zone since when it is evacuated; zero if it is
// not.
func (tb *testbed) setEvacuated(zone string, since time.Time) {
	for _, m := range tb.vms {
		if m.zone == zone {
			m.upstream.setEvacuated(since)
		}
	}
}

func (u *upstream) setEvacuated(since time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.evacuatedSince = since
}

// checkEvacuation reports a call that reaches an upstream of an evacuated zone too late,
// unless a fault may have delayed the news.
func (u *upstream) checkEvacuation(id string) {
	u.mu.Lock()
	since := u.evacuatedSince
	u.mu.Unlock()
	if u.testbed.newsOverdue(since, maxEvacuationDelay) {
		u.testbed.violations.add("EVAC", "attempt %s reached %s %s after its zone was evacuated", id, u.entry.ID, time.Since(since))
	}
}
