package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// phaseLength is the time between changes from planned work alone to all
	// kinds of faults and back.
	phaseLength = 8 * time.Second
	minStep     = 100 * time.Millisecond
	maxStep     = 900 * time.Millisecond
	minFault    = 200 * time.Millisecond
	maxFault    = 3 * time.Second
	// aftermath is how long a fault may be felt after its end.
	aftermath = time.Second
)

// injector starts faults at times and places that follow from a seed. Faults
// overlap, but a VM has one fault of its own at a time.
type injector struct {
	world *world
	rng   *rand.Rand
	wg    sync.WaitGroup
	// mu guards busy.
	mu   sync.Mutex
	busy map[*vm]bool
}

func newInjector(w *world) *injector {
	return &injector{world: w, rng: rand.New(rand.NewPCG(w.options.Seed, 1)), busy: map[*vm]bool{}}
}

// run injects faults for the duration and waits for their ends.
func (i *injector) run(d time.Duration) {
	began := time.Now()
	for time.Since(began) < d {
		planned := int(time.Since(began)/phaseLength)%2 == 0
		i.step(planned)
		pause(minStep + time.Duration(i.rng.Int64N(int64(maxStep-minStep))))
	}
	i.wg.Wait()
}

func (i *injector) step(planned bool) {
	f := faults[i.rng.IntN(len(faults))]
	for planned && !f.planned {
		f = faults[i.rng.IntN(len(faults))]
	}
	m := i.world.vms[i.rng.IntN(len(i.world.vms))]
	d := minFault + time.Duration(i.rng.Int64N(int64(maxFault-minFault)))
	rng := rand.New(rand.NewPCG(i.rng.Uint64(), 2))
	if !i.take(m) {
		return
	}
	i.world.steps++
	if !f.planned {
		i.world.disturb(d + aftermath)
	}
	i.wg.Add(1)
	go func() {
		defer i.wg.Done()
		defer i.give(m)
		f.act(i.world, m, rng, d)
		if !f.planned {
			i.world.disturb(aftermath)
		}
	}()
}

func (i *injector) take(m *vm) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.busy[m] {
		return false
	}
	i.busy[m] = true
	return true
}

func (i *injector) give(m *vm) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.busy[m] = false
}
