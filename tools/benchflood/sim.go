package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/filbertpier/filbertpier/internal/admission"
	"github.com/filbertpier/filbertpier/internal/member"
)

const (
	zones   = 6
	vmCount = 18
	// lead is the time of ordinary load before the flood; fullFlood is the
	// time of the flood, in which all figures are taken.
	lead      = 300 * time.Millisecond
	fullFlood = time.Second
	// drain lets calls that arrived during the flood end.
	drain = 2 * time.Second
)

// sim is one run of a scenario under a policy. It belongs to one goroutine.
type sim struct {
	timeline
	deployment *deployment
	scenario   *scenario
	policy     policy
	flood      time.Duration
	rng        *rand.Rand
	view       *member.View
	upstreams  []*upstream
	byVM       map[string]*upstream
	senders    []*sender
	services   [3]string
	stats      *stats
	// overSlots is set if an upstream ever ran more calls than its slots.
	overSlots bool
}

func newSim(d *deployment, sc *scenario, p policy, flood time.Duration, seed uint64) *sim {
	s := &sim{
		deployment: d, scenario: sc, policy: p, flood: flood, rng: rand.New(rand.NewPCG(seed, 11)),
		byVM: map[string]*upstream{}, services: [3]string{"s0", "s1", "s2"}, stats: newStats(d, flood),
	}
	table := member.NewTable()
	for i := range vmCount {
		zone, service := i%zones, i/zones
		h := healthy
		switch zone {
		case service:
			h = gone
		case (service + 3) % zones:
			h = cold
		}
		started := epoch
		if h != cold {
			started = epoch.Add(-time.Hour)
		}
		m := member.Member{
			VM: fmt.Sprint("vm", i), Zone: fmt.Sprint("z", zone), Region: fmt.Sprint("r", zone/2),
			Service: s.services[service], Boot: uint64(started.UnixMilli()),
		}
		table.Apply(epoch, m)
		u := newUpstream(s, i, service, m, h)
		s.upstreams, s.byVM[m.VM] = append(s.upstreams, u), u
		if h != gone {
			s.senders = append(s.senders, newSender(s, m, seed*100+uint64(i)))
		}
	}
	s.view = table.View(epoch)
	return s
}

func (s *sim) limits(slots, connections int) admission.Limits {
	return admission.Limits{Slots: slots, Connections: connections, Ranks: s.deployment.ranks[:]}
}

func (s *sim) target(rank int) time.Duration {
	return time.Duration(s.deployment.ranks[rank].TargetMs) * time.Millisecond
}

// delay is the one-way latency between two nodes.
func (s *sim) delay(a, b member.Member) time.Duration {
	switch {
	case a.VM == b.VM:
		return 0
	case a.Zone == b.Zone:
		return 100 * time.Microsecond
	case a.Region == b.Region:
		return 1500 * time.Microsecond
	default:
		return 30 * time.Millisecond
	}
}

// run simulates the ordinary load, the flood and its end.
func (s *sim) run() *stats {
	for service := range s.services {
		for rank := range s.deployment.ranks {
			for _, e := range s.senders {
				s.arrivals(e, service, rank)
			}
		}
	}
	s.runUntil(lead + s.flood + drain)
	s.stats.finish(s)
	return s.stats
}

// arrivals offers calls of one rank at one sender as a Poisson process.
func (s *sim) arrivals(e *sender, service, rank int) {
	capacity := float64(zones*s.deployment.slots) / s.deployment.services[service].Seconds()
	perSender := capacity / float64(len(s.senders))
	var next func()
	next = func() {
		at := time.Duration(s.now)
		if at >= lead+s.flood {
			return
		}
		load := s.scenario.offered[rank]
		if at < lead {
			load = min(load, ordinaryLoad)
		}
		s.after(time.Duration(s.rng.ExpFloat64()/(load*perSender)*float64(time.Second)), next)
		r := s.deployment.ranks[rank]
		e.accept(&flight{
			service: service, rank: rank, sender: e, start: s.time(), measured: at >= lead,
			deadline: s.time().Add(2 * time.Duration(r.TargetMs) * time.Millisecond),
		})
	}
	s.after(time.Duration(s.rng.Float64()*float64(time.Millisecond)), next)
}

// ordinaryLoad is the load of each rank before the flood, as a share of the
// capacity.
const ordinaryLoad = 0.15
