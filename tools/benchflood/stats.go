package main

import "time"

// stats counts what happens in one run. It belongs to one goroutine.
type stats struct {
	deployment *deployment
	flood      time.Duration
	ranks      [3]*rankStats
	series     [3][]sample
	// capacity is the service time that live upstreams can do in the flood,
	// in terms of a warm upstream; servable is the number of urgent calls
	// that fit beside the floors of the other ranks.
	capacity  time.Duration
	servable  float64
	overSlots bool
	// owed and used are the sums of the floor meters.
	owed, used [3]float64
}

func newStats(d *deployment, flood time.Duration) *stats {
	s := &stats{deployment: d, flood: flood}
	for i := range s.ranks {
		s.ranks[i] = newRankStats()
		s.series[i] = make([]sample, (lead+flood+drain)/sampleTime+1)
	}
	return s
}

func (s *stats) sample(f *flight, at time.Duration) *sample {
	return &s.series[f.rank][at/sampleTime]
}

func (s *stats) offered(f *flight, at time.Duration) {
	s.sample(f, at).offered++
	if f.measured {
		s.ranks[f.rank].offered++
	}
}

func (s *stats) refused(f *flight, at time.Duration) {
	s.sample(f, at).refused++
	if f.measured {
		s.ranks[f.rank].refused++
	}
}

func (s *stats) served(f *flight, at, latency time.Duration) {
	inTarget := latency <= time.Duration(s.deployment.ranks[f.rank].TargetMs)*time.Millisecond
	p := s.sample(f, at)
	p.latency += latency
	if inTarget {
		p.inTarget++
	} else {
		p.late++
	}
	if !f.measured {
		return
	}
	r := s.ranks[f.rank]
	r.served++
	_ = r.latency.RecordValue(latency.Microseconds())
	if inTarget {
		r.inTarget++
		if at <= lead+s.flood {
			r.useful += f.work
		}
	}
}

// worked counts a call that an upstream finished during the flood.
func (s *stats) worked(f *flight, at time.Duration) {
	if at >= lead && at <= lead+s.flood {
		s.ranks[f.rank].worked += f.work
	}
}

// finish computes the capacity of the run.
func (s *stats) finish(sim *sim) {
	s.overSlots = sim.overSlots
	floors := 0.0
	for _, r := range s.deployment.ranks[1:] {
		floors += r.Floor
	}
	for _, u := range sim.upstreams {
		if u.health == gone {
			continue
		}
		u.floors.advance(sim)
		for i := range s.ranks {
			s.owed[i] += u.floors.owed[i]
			s.used[i] += u.floors.used[i]
		}
		work := 0.0
		for at := lead; at < lead+s.flood; at += time.Millisecond {
			work += 1e-3 * float64(s.deployment.slots) / u.health.slowdown(at)
		}
		s.capacity += time.Duration(work * float64(time.Second))
		s.servable += (1 - floors) * work / s.deployment.services[u.service].Seconds()
	}
}

// urgentInTarget is the share of urgent calls served in target, of those
// offered or of those that fit, whichever is fewer.
func (s *stats) urgentInTarget() float64 {
	return min(1, float64(s.ranks[0].inTarget)/min(float64(s.ranks[0].offered), s.servable))
}

// floorKept is the least share of its floor that a rank but the most urgent
// got while it had calls waiting at the upstreams. It is negative if no rank
// had any, as when calls wait at the senders only.
func (s *stats) floorKept() float64 {
	kept := -1.0
	for i := range s.deployment.ranks[1:] {
		if owed := s.owed[i+1]; owed > 0 {
			share := min(1, s.used[i+1]/owed)
			if kept < 0 || share < kept {
				kept = share
			}
		}
	}
	return kept
}

// floorShare is the least share of its floor of the whole fleet's capacity
// that a rank but the most urgent got, whether or not it had calls waiting.
func (s *stats) floorShare() float64 {
	share := 1.0
	for i, r := range s.deployment.ranks[1:] {
		share = min(share, s.ranks[i+1].worked.Seconds()/(r.Floor*s.capacity.Seconds()))
	}
	return share
}

// usefulShare is the work on calls in target as a share of the capacity.
func (s *stats) usefulShare() float64 {
	useful := time.Duration(0)
	for _, r := range s.ranks {
		useful += r.useful
	}
	return useful.Seconds() / s.capacity.Seconds()
}

// accounted reports whether each offered call was served or refused.
func (s *stats) accounted() bool {
	for _, r := range s.ranks {
		if r.offered == 0 || r.offered != r.served+r.refused {
			return false
		}
	}
	return !s.overSlots && s.capacity > 0
}
