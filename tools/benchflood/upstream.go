package main

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/admission"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/routing"
)

// upstream is a VM: an upstream and the node beside it.
type upstream struct {
	sim     *sim
	member  member.Member
	index   int
	service int
	health  health
	// gate is nil if the upstream itself queues first come first served.
	gate    *admission.Gate
	waiting map[*admission.Ticket]*flight
	queue   []*flight
	running int
	floors  floorMeter
}

func newUpstream(s *sim, index, service int, m member.Member, h health) *upstream {
	u := &upstream{sim: s, index: index, service: service, member: m, health: h, waiting: map[*admission.Ticket]*flight{}}
	if s.policy == policyNode {
		u.gate = admission.NewGate(s.limits(s.deployment.slots, s.deployment.connections), u.settle)
	}
	return u
}

func (u *upstream) settle(t *admission.Ticket, err error) {
	f := u.waiting[t]
	delete(u.waiting, t)
	u.floors.wait(u.sim, f.rank, -1)
	if err != nil {
		u.answer(f, routing.OutcomeRefused)
		return
	}
	u.run(f)
}

// receive handles a call that arrives over the network.
func (u *upstream) receive(f *flight) {
	switch {
	case u.health == gone:
		u.sim.after(connectFailure, func() { f.sender.ended(f, answer{outcome: routing.OutcomeFailed}) })
	case u.gate != nil:
		u.submit(f)
	case u.running < u.sim.deployment.slots:
		u.run(f)
	case u.running+len(u.queue) < u.sim.deployment.connections:
		u.queue = append(u.queue, f)
		u.floors.wait(u.sim, f.rank, 1)
	default:
		u.answer(f, routing.OutcomeRefused)
	}
}

// connectFailure is the time until a connection to a dead VM fails.
const connectFailure = time.Millisecond

func (u *upstream) submit(f *flight) {
	f.atNode = &admission.Ticket{Rank: u.sim.deployment.ranks[f.rank], Deadline: f.deadline}
	u.waiting[f.atNode] = f
	u.floors.wait(u.sim, f.rank, 1)
	granted, err := u.gate.Submit(u.sim.time(), f.atNode)
	if err != nil || granted {
		u.settle(f.atNode, err)
	}
}

func (u *upstream) run(f *flight) {
	u.running++
	u.floors.run(u.sim, f.rank, 1)
	u.sim.overSlots = u.sim.overSlots || u.running > u.sim.deployment.slots
	mean := u.sim.deployment.services[u.service]
	// Service times are spread evenly from half to one and a half of the mean.
	f.work = time.Duration((0.5 + u.sim.rng.Float64()) * float64(mean))
	took := time.Duration(float64(f.work) * u.health.slowdown(time.Duration(u.sim.now)))
	u.sim.after(took, func() { u.finish(f) })
}

func (u *upstream) finish(f *flight) {
	u.running--
	u.floors.run(u.sim, f.rank, -1)
	u.sim.stats.worked(f, time.Duration(u.sim.now))
	if u.gate != nil {
		u.gate.Release(u.sim.time(), f.atNode)
	} else {
		u.next()
	}
	u.answer(f, routing.OutcomeCompleted)
}

// next starts the oldest waiting call whose caller still waits.
func (u *upstream) next() {
	for len(u.queue) > 0 {
		f := u.queue[0]
		u.queue = u.queue[1:]
		u.floors.wait(u.sim, f.rank, -1)
		if u.sim.time().Before(f.deadline) {
			u.run(f)
			return
		}
		u.answer(f, routing.OutcomeRefused)
	}
}

func (u *upstream) answer(f *flight, outcome routing.Outcome) {
	report := &routing.LoadReport{Running: u.running, Waiting: len(u.queue) + len(u.waiting), Slots: u.sim.deployment.slots}
	u.sim.after(u.sim.delay(f.sender.member, u.member), func() {
		f.sender.ended(f, answer{outcome: outcome, report: report})
	})
}
