package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/filbertpier/filbertpier/platform/standin"
)

const (
	host = "requests.example"
	// stopRounds is how many stops a run has. Two nodes are stopped in turn, stopGap to
	// twice that after the other one is back, so that each has run for longer than
	// contactTime.
	stopRounds = 16
	stopGap    = 700 * time.Millisecond
	// sentAfterStop is how long after SIGTERM a request that its server cannot end in
	// time still counts as excused by the rule.
	sentAfterStop = 3 * time.Second
)

// stop is one SIGTERM of a node.
type stop struct {
	vm *vm
	at time.Time
}

// piece holds requests that are sent at once, a time after the piece before.
type piece struct {
	after    time.Duration
	requests []*request
}

// requester keeps one connection to the node of its machine, sends a batch of safe
// requests ahead on it and waits for the answers before it sends the next batch.
type requester struct {
	bed  *bed
	vm   *vm
	name string
	// batch returns the next requests, in pieces that are sent one after the other.
	batch func(q *requester) []piece
	sent  int
	mu    sync.Mutex
	log   []*request
}

func (q *requester) newRequest(path string, limit time.Duration) *request {
	q.sent++
	return &request{id: fmt.Sprintf("%s-%04d", q.name, q.sent), host: host, path: path, limit: limit}
}

func (q *requester) note(list []*request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.log = append(q.log, list...)
}

// requests returns what the requester has sent.
func (q *requester) requests() []*request {
	q.mu.Lock()
	defer q.mu.Unlock()
	return append([]*request(nil), q.log...)
}

// run sends batches until done is closed. It opens a new connection when the node has
// closed the last one, and pauses after a failure as Retry-After asks for at least.
func (q *requester) run(done <-chan struct{}) {
	var c *clientConn
	for {
		select {
		case <-done:
			if c != nil {
				c.close()
				<-c.ended
			}
			return
		case <-time.After(rand.N(150 * time.Millisecond)):
		}
		if c == nil {
			var err error
			if c, err = dialNode(q.bed.addr(q.vm, portOutbound), q.bed.rec); err != nil {
				c = nil
				continue
			}
		}
		for _, p := range q.batch(q) {
			time.Sleep(p.after)
			if _, closing := c.outstanding(); closing {
				break
			}
			q.note(p.requests)
			c.send(p.requests...)
		}
		if !awaitAnswers(c) {
			<-c.ended
			c = nil
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// awaitAnswers waits until all requests of a connection are answered. It returns false
// if the node closes the connection.
func awaitAnswers(c *clientConn) bool {
	for {
		if n, closing := c.outstanding(); closing || n == 0 {
			return !closing
		}
		select {
		case <-c.changed:
		case <-c.ended:
		}
	}
}

// playStops starts the bed and the requesters, and stops and starts the nodes of the
// first two VMs in turn.
func playStops(rec *record, trouble bool, vms []*vm, configure func(*bed), requesters []*requester) (bool, error) {
	b, err := newBed(rec, vms, 184)
	defer b.close()
	if err != nil {
		return false, err
	}
	configure(b)
	var starting sync.WaitGroup
	errs := make(chan error, len(vms))
	for _, v := range vms {
		starting.Go(func() { errs <- b.startNode(v) })
	}
	starting.Wait()
	for range vms {
		if err := <-errs; err != nil {
			return false, err
		}
	}
	done := make(chan struct{})
	var running sync.WaitGroup
	for _, q := range requesters {
		q.bed = b
		running.Go(func() { q.run(done) })
	}
	var stops []stop
	time.Sleep(contactTime)
	for round := range stopRounds {
		time.Sleep(stopGap + rand.N(stopGap))
		v := vms[round%2]
		if !trouble {
			time.Sleep(graceTime / 2)
			continue
		}
		at := b.sigterm(v)
		stops = append(stops, stop{vm: v, at: at})
		b.terminate(v, at)
		if err = b.startNode(v); err != nil {
			break
		}
	}
	close(done)
	running.Wait()
	if err != nil {
		return false, err
	}
	return judgeLost(b, stops, requesters), nil
}

// judgeLost applies the rule LOST: around a planned stop, a request that was passed on
// to a server ends without a complete answer.
func judgeLost(b *bed, stops []stop, requesters []*requester) (broken bool) {
	sent, answered, lost, notPassedOn, excused, wrong := 0, 0, 0, 0, 0, 0
	for _, q := range requesters {
		for _, r := range q.requests() {
			sent++
			if r.wrong != "" {
				wrong++
				b.rec.line("%s got %s", r.id, r.wrong)
			}
			if r.answered {
				answered++
				continue
			}
			runs := b.runsOf(r.id)
			s := stopOf(stops, q.vm, r)
			switch {
			case s == nil:
				// The requester closed the connection at the end of the play.
			case len(runs) == 0:
				notPassedOn++
			case r.ended.Sub(r.sent) >= r.limit, atWorkAtTheEnd(runs, s, r):
				excused++
			default:
				lost++
				b.rec.line("LOST %s: sent %.3f s after SIGTERM, run by %s, connection ended %.3f s after SIGTERM: %s",
					r.id, r.sent.Sub(s.at).Seconds(), runs[0].server, r.ended.Sub(s.at).Seconds(), r.err)
			}
		}
	}
	b.rec.verdict("stops %d; requests sent %d, answered %d, lost %d, unanswered but not passed on %d, excused %d, wrong answers %d",
		len(stops), sent, answered, lost, notPassedOn, excused, wrong)
	return lost > 0 || wrong > 0
}

// stopOf returns the stop of the machine that took a request during which its connection
// ended, or nil.
func stopOf(stops []stop, v *vm, r *request) *stop {
	for i := range stops {
		s := &stops[i]
		if s.vm == v && r.ended.After(s.at) && r.ended.Before(s.at.Add(graceTime+time.Second)) {
			return s
		}
	}
	return nil
}

// atWorkAtTheEnd reports whether a server was still at work in the last sixth of the
// grace period on a request that was sent early enough after SIGTERM.
func atWorkAtTheEnd(runs []run, s *stop, r *request) bool {
	if r.sent.After(s.at.Add(sentAfterStop)) {
		return false
	}
	for _, w := range runs {
		if w.end.IsZero() || w.end.After(s.at.Add(graceTime*5/6)) {
			return true
		}
	}
	return false
}

// atlasVMs are machines of two services of the sheet atlas-commons-grown, in four zones.
// Each zone has one node, so its requesters keep sending to that node while it stops.
func atlasVMs() []*vm {
	return []*vm{
		{name: "a", zone: "casa-ain", service: "guide", slots: 9},
		{name: "b", zone: "casa-maarif", service: "guide", slots: 9},
		{name: "c", zone: "fes-saiss", service: "archive", slots: 9},
		{name: "d", zone: "fes-jdid", service: "archive", slots: 9},
	}
}

// playStopTail stops nodes while requesters have sent requests of one route ahead, of
// which the first takes longer than the others.
func playStopTail(rec *record, trouble bool) (bool, error) {
	vms := atlasVMs()
	configure := func(b *bed) {
		b.store.PutConfiguration(12, []standin.Route{
			{Host: host, Prefix: "/listing/", Service: "guide", Idempotent: true, TimeoutMs: 3000, TargetMs: 1000, MaxAttempts: 3},
		}, "guide", "archive")
	}
	batch := func(q *requester) []piece {
		list := []*request{q.newRequest(fmt.Sprintf("/listing/%d-400/%d", 1000+rand.IntN(800), q.sent), 6*time.Second)}
		for range 7 {
			list = append(list, q.newRequest(fmt.Sprintf("/listing/%d-400/%d", 100+rand.IntN(140), q.sent), 6*time.Second))
		}
		return []piece{{requests: list}}
	}
	return playStops(rec, trouble, vms, configure, requestersOf(vms[:2], batch))
}

// hffaVMs are machines of two services of the sheet hffa-mesh-grown, in four zones.
func hffaVMs() []*vm {
	return []*vm{
		{name: "a", zone: "kolkata-a", service: "schedule-desk", slots: 12},
		{name: "b", zone: "kolkata-b", service: "schedule-desk", slots: 12},
		{name: "c", zone: "haldia-a", service: "manifest-office", slots: 12},
		{name: "d", zone: "haldia-b", service: "manifest-office", slots: 12},
	}
}

// playStopMixed stops nodes while requesters send requests of two routes ahead, whose
// timeouts differ.
func playStopMixed(rec *record, trouble bool) (bool, error) {
	vms := hffaVMs()
	configure := func(b *bed) {
		b.store.PutConfiguration(12, []standin.Route{
			{Host: host, Prefix: "/slot/", Service: "schedule-desk", Idempotent: true, TimeoutMs: 2500, TargetMs: 500, MaxAttempts: 3},
			{Host: host, Prefix: "/tariff/", Service: "manifest-office", Idempotent: true, TimeoutMs: 6000, TargetMs: 4000, MaxAttempts: 3},
		}, "schedule-desk", "manifest-office")
	}
	batch := func(q *requester) []piece {
		first := q.newRequest(fmt.Sprintf("/slot/%d-1500/%d", 800+rand.IntN(400), q.sent), 5*time.Second)
		tariff := q.newRequest(fmt.Sprintf("/tariff/%d-1500/%d", 500+rand.IntN(300), q.sent), 12*time.Second)
		slot := q.newRequest(fmt.Sprintf("/slot/%d-1500/%d", 120+rand.IntN(80), q.sent), 5*time.Second)
		return []piece{{requests: []*request{first}}, {after: rand.N(500 * time.Millisecond), requests: []*request{tariff, slot}}}
	}
	return playStops(rec, trouble, vms, configure, requestersOf(vms[:2], batch))
}

// requestersOf returns three requesters on each machine.
func requestersOf(vms []*vm, batch func(q *requester) []piece) []*requester {
	var out []*requester
	for _, v := range vms {
		for i := range 3 {
			out = append(out, &requester{vm: v, name: fmt.Sprintf("%s%d", v.name, i), batch: batch})
		}
	}
	return out
}
