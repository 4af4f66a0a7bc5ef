package main

import (
	"math/rand/v2"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/admission"
	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/retry"
	"github.com/filbertpier/filbertpier/internal/routing"
)

// sender is the entry node of calls.
type sender struct {
	sim     *sim
	member  member.Member
	picker  *routing.Picker
	budgets *retry.Budgets
	rng     *rand.Rand
	// gates, learnt and waiting serve policies that limit at the sender; the
	// first two are indexed by upstream.
	gates   []*admission.Gate
	learnt  []learntLimit
	waiting map[*admission.Ticket]*flight
}

var retryPolicy = &config.RetryPolicy{Name: "bench", MaxAttempts: 2, BudgetRatio: 0.1, BackoffMs: 5}

// callBytes is the assumed size of request and response together.
const callBytes = 8 << 10

func newSender(s *sim, m member.Member, seed uint64) *sender {
	e := &sender{
		sim: s, member: m, picker: routing.NewPicker(), budgets: retry.NewBudgets(),
		rng: rand.New(rand.NewPCG(seed, 7)), waiting: map[*admission.Ticket]*flight{},
	}
	if s.policy.limitsAtSender() {
		share := max(s.deployment.connections/vmCount, 1)
		for range vmCount {
			limit := share
			if s.policy == policyLearnt {
				limit = learntStart
			}
			e.gates = append(e.gates, admission.NewGate(s.limits(limit, limit+s.deployment.connections), e.settle))
			e.learnt = append(e.learnt, learntLimit{limit: learntStart})
		}
	}
	return e
}

// accept handles a new call of a caller.
func (e *sender) accept(f *flight) {
	e.sim.stats.offered(f, time.Duration(e.sim.now))
	e.budgets.RecordFirstAttempt(e.sim.time(), e.sim.services[f.service], retryPolicy, 0, false)
	e.route(f)
}

func (e *sender) route(f *flight) {
	now := e.sim.time()
	d, err := e.picker.Pick(now, routing.Query{
		View: e.sim.view, Self: e.member, Service: e.sim.services[f.service], Exclude: f.tried, Order: f.rank,
		Worth: e.sim.deployment.ranks[f.rank].Worth, Target: e.sim.target(f.rank), Bytes: callBytes,
		Deadline: f.deadline, Rand: e.rng,
	})
	f.attempts++
	if err != nil {
		e.refused(f, 0)
		return
	}
	f.upstream = e.sim.byVM[d.Member.VM]
	if e.gates == nil {
		e.send(f)
		return
	}
	f.atSender = &admission.Ticket{Rank: e.sim.deployment.ranks[f.rank], Deadline: f.deadline}
	e.waiting[f.atSender] = f
	if granted, err := e.gates[f.upstream.index].Submit(now, f.atSender); err != nil || granted {
		e.settle(f.atSender, err)
	}
}

func (e *sender) settle(t *admission.Ticket, err error) {
	f := e.waiting[t]
	delete(e.waiting, t)
	if err != nil {
		f.atSender = nil
		e.refused(f, 0)
		return
	}
	e.send(f)
}

func (e *sender) send(f *flight) {
	f.sent = e.sim.time()
	e.picker.Start(f.sent, f.upstream.member)
	e.sim.after(e.sim.delay(e.member, f.upstream.member), func() { f.upstream.receive(f) })
}

// ended handles the end of an attempt.
func (e *sender) ended(f *flight, a answer) {
	now := e.sim.time()
	e.picker.Finish(now, f.upstream.member, routing.Result{
		Outcome: a.outcome, Order: f.rank, Latency: now.Sub(f.sent), Bytes: callBytes, Report: a.report,
	})
	if e.gates != nil {
		e.endedLimited(now, f, a)
	}
	if a.outcome == routing.OutcomeCompleted {
		e.sim.stats.served(f, time.Duration(e.sim.now), now.Sub(f.start))
		return
	}
	e.refused(f, 0)
}

func (e *sender) endedLimited(now time.Time, f *flight, a answer) {
	i := f.upstream.index
	if e.sim.policy == policyLearnt {
		good := a.outcome == routing.OutcomeCompleted && now.Sub(f.sent) < e.sim.target(0)/2
		before := int(e.learnt[i].limit)
		if limit := e.learnt[i].observe(now, good, float64(e.sim.deployment.connections)); limit != before {
			e.gates[i].Configure(now, e.sim.limits(limit, limit+e.sim.deployment.connections))
		}
	}
	e.gates[i].Release(now, f.atSender)
}

// refused tries a call again that did not run, or tells the caller.
func (e *sender) refused(f *flight, retryAfter time.Duration) {
	now := e.sim.time()
	d := e.budgets.Decide(now, retry.FailedAttempt{
		Service: e.sim.services[f.service], Policy: retryPolicy, AttemptsMade: f.attempts, Ran: call.RanNo, Idempotent: true,
		Replayable: true, Deadline: f.deadline, RetryAfter: retryAfter, ExpectedDuration: e.sim.deployment.services[f.service],
	}, e.rng)
	if !d.Retry {
		e.sim.stats.refused(f, time.Duration(e.sim.now))
		return
	}
	if f.upstream != nil {
		f.tried = map[string]bool{f.upstream.member.VM: true}
	}
	e.sim.after(d.Delay, func() { e.route(f) })
}
