package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/filbertpier/filbertpier/platform/standin"
)

const (
	// usualRequesters are at one node all the time, burstRequesters in bursts as well:
	// together 2.4 times as many.
	usualRequesters = 5
	burstRequesters = 7
	bursts          = 6
	burstTime       = 6 * time.Second
	// allowedLosses is how many requests the rule LOST lets a machine lose at any time.
	allowedLosses = 3
)

// playMemory lets requesters send requests ahead behind one that takes long, in bursts,
// until the answers that wait for their turn fill the node's memory for clients.
func playMemory(rec *record, trouble bool) (bool, error) {
	vms := atlasVMs()
	vms[2].slots, vms[3].slots = 18, 18
	for i, zone := range []string{"mrk-gueliz", "mrk-menara"} {
		vms = append(vms, &vm{name: string(rune('e' + i)), zone: zone, service: "archive", slots: 18})
	}
	b, err := newBed(rec, vms, 184)
	defer b.close()
	if err != nil {
		return false, err
	}
	b.linkMbps = 200
	b.store.PutConfiguration(12, []standin.Route{
		{Host: host, Prefix: "/tariff/", Service: "guide", Idempotent: true, TimeoutMs: 6000, TargetMs: 4000, MaxAttempts: 3},
		{Host: host, Prefix: "/episode/", Service: "archive", Idempotent: true, TimeoutMs: 6000, TargetMs: 4000, MaxAttempts: 3},
	}, "guide", "archive")
	for _, v := range vms {
		if err := b.startNode(v); err != nil {
			return false, err
		}
	}
	time.Sleep(contactTime)
	batch := func(q *requester) []piece {
		list := []*request{q.newRequest(fmt.Sprintf("/tariff/%d-1500/%d", 3000+rand.IntN(800), q.sent), 12*time.Second)}
		for range 7 {
			list = append(list, q.newRequest(fmt.Sprintf("/episode/%d-%d/%d", 200+rand.IntN(2000), episodeBytes(), q.sent), 6*time.Second))
		}
		return []piece{{requests: list}}
	}
	var requesters []*requester
	usual := startRequesters(b, "u", usualRequesters, batch, &requesters)
	for i := range bursts {
		time.Sleep(burstTime)
		if !trouble {
			time.Sleep(burstTime)
			continue
		}
		rec.line("burst begins")
		stop := startRequesters(b, fmt.Sprintf("b%d-", i), burstRequesters, batch, &requesters)
		time.Sleep(burstTime)
		stop()
		rec.line("burst ends")
	}
	usual()
	sent, answered, lost := 0, 0, 0
	for _, q := range requesters {
		for _, r := range q.requests() {
			sent++
			switch {
			case r.answered:
				answered++
			case len(b.runsOf(r.id)) > 0 && r.ended.Sub(r.sent) < r.limit:
				lost++
				b.rec.line("LOST %s: connection ended after %.3f s: %s", r.id, r.ended.Sub(r.sent).Seconds(), r.err)
			}
		}
	}
	rec.verdict("requests sent %d, answered %d, passed on to a server and lost %d", sent, answered, lost)
	return lost > allowedLosses, nil
}

// startRequesters starts requesters at the first VM, and appends them to all. The
// returned function stops them once their requests are answered.
func startRequesters(b *bed, name string, n int, batch func(*requester) []piece, all *[]*requester) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	for i := range n {
		q := &requester{bed: b, vm: b.vms[0], name: fmt.Sprintf("%s%d", name, i), batch: batch}
		*all = append(*all, q)
		running.Go(func() { q.run(done) })
	}
	return func() {
		close(done)
		running.Wait()
	}
}

// episodeBytes returns the size of a long answer, at most the 540 kB of the sheets.
func episodeBytes() int { return 400_000 + rand.IntN(140_000) }
