package main

// floorMeter integrates, for one upstream, the slot time of each rank while
// the rank has waiting calls there.
type floorMeter struct {
	at      int64
	running [3]int
	waiting [3]int
	// owed is the floor's slot time and used the rank's slot time, both in
	// nanoseconds and only while the rank had waiting calls.
	owed, used [3]float64
}

// advance must be called before running or waiting change.
func (m *floorMeter) advance(s *sim) {
	dt := float64(s.now - m.at)
	m.at = s.now
	if s.now < int64(lead) || s.now > int64(lead+s.flood) {
		return
	}
	for i, r := range s.deployment.ranks {
		if m.waiting[i] > 0 {
			m.owed[i] += dt * r.Floor * float64(s.deployment.slots)
			m.used[i] += dt * float64(m.running[i])
		}
	}
}

func (m *floorMeter) wait(s *sim, rank, change int) {
	m.advance(s)
	m.waiting[rank] += change
}

func (m *floorMeter) run(s *sim, rank, change int) {
	m.advance(s)
	m.running[rank] += change
}
