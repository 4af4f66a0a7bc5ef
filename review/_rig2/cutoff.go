package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/filbertpier/filbertpier/platform/standin"
)

const (
	// cutSpells is how often the faulty server breaks off answers, for cutTime each, with
	// cutPause before.
	cutSpells = 10
	cutTime   = 5500 * time.Millisecond
	cutPause  = 3 * time.Second
	// cutShare is the part of its answers that the faulty server breaks off.
	cutShare = 0.02
	// cutRequesters is how many requesters are at one node.
	cutRequesters = 6
)

// playCutOff lets requesters send short requests ahead behind a long download, while one
// of the two servers of the downloads breaks off a part of its answers.
func playCutOff(rec *record, trouble bool) (bool, error) {
	vms := atlasVMs()
	b, err := newBed(rec, vms, 184)
	defer b.close()
	if err != nil {
		return false, err
	}
	b.linkMbps = 200
	b.store.PutConfiguration(12, []standin.Route{
		{Host: host, Prefix: "/listing/", Service: "guide", Idempotent: true, TimeoutMs: 3000, TargetMs: 1000, MaxAttempts: 3},
		{Host: host, Prefix: "/episode/", Service: "archive", Idempotent: true, TimeoutMs: 6000, TargetMs: 4000, MaxAttempts: 3},
	}, "guide", "archive")
	for _, v := range vms {
		if err := b.startNode(v); err != nil {
			return false, err
		}
	}
	time.Sleep(contactTime)
	batch := func(q *requester) []piece {
		size := 1_100_000 + rand.IntN(200_000)
		list := []*request{q.newRequest(fmt.Sprintf("/episode/%d-%d/%d", 140+rand.IntN(200), size, q.sent), 6*time.Second)}
		for range 3 {
			list = append(list, q.newRequest(fmt.Sprintf("/listing/%d-400/%d", 60+rand.IntN(140), q.sent), 6*time.Second))
		}
		return []piece{{requests: list}}
	}
	var requesters []*requester
	stop := startRequesters(b, "a", cutRequesters, batch, &requesters)
	faulty := vms[2].server
	for range cutSpells {
		time.Sleep(cutPause)
		faulty.cutsOff.Store(trouble)
		time.Sleep(cutTime)
		faulty.cutsOff.Store(false)
	}
	stop()
	sent, answered, cut, lost := 0, 0, 0, 0
	for _, q := range requesters {
		for _, r := range q.requests() {
			sent++
			runs := b.runsOf(r.id)
			switch {
			case r.answered:
				answered++
			case len(runs) == 0:
			case faulty.hasCutOff(r.id):
				cut++
			default:
				lost++
				rec.line("LOST %s: run by %s, connection ended after %.3f s: %s", r.id, runs[0].server, r.ended.Sub(r.sent).Seconds(), r.err)
			}
		}
	}
	rec.verdict("requests sent %d, answered %d, broken off by the server %d, passed on to sound servers and lost %d", sent, answered, cut, lost)
	return lost > allowedLosses, nil
}
