package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// phaseDuration is the length of a phase. Phases with only planned work
	// alternate with phases that have all kinds of faults.
	phaseDuration    = 8 * time.Second
	minStepInterval  = 100 * time.Millisecond
	maxStepInterval  = 900 * time.Millisecond
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// settleTime is how long the effects of a fault may outlast it.
	settleTime = time.Second
)

// injector starts faults at random times on random VMs, determined by the seed.
// Faults overlap, but at most one at a time is assigned to a VM.
type injector struct {
	testbed *testbed
	rng     *rand.Rand
	wg      sync.WaitGroup
	// mu guards busy.
	mu sync.Mutex
	// busy holds the VMs that have a fault assigned.
	busy map[*vm]bool
}

func newInjector(tb *testbed) *injector {
	return &injector{testbed: tb, rng: rand.New(rand.NewPCG(tb.options.Seed, 1)), busy: map[*vm]bool{}}
}

// run injects faults for d and waits until all of them have ended.
func (i *injector) run(d time.Duration) {
	start := time.Now()
	i.wg.Go(func() { i.testbed.evacuateZones(d) })
	i.wg.Go(func() { i.testbed.returnStore(d) })
	for time.Since(start) < d {
		planned := int(time.Since(start)/phaseDuration)%2 == 0
		i.step(planned)
		pause(minStepInterval + time.Duration(i.rng.Int64N(int64(maxStepInterval-minStepInterval))))
	}
	i.wg.Wait()
}

func (i *injector) step(planned bool) {
	f := faults[i.rng.IntN(len(faults))]
	for planned && !f.planned {
		f = faults[i.rng.IntN(len(faults))]
	}
	m := i.testbed.vms[i.rng.IntN(len(i.testbed.vms))]
	d := minFaultDuration + time.Duration(i.rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
	rng := rand.New(rand.NewPCG(i.rng.Uint64(), 2))
	if !i.acquire(m) {
		return
	}
	i.testbed.steps++
	if !f.planned {
		i.testbed.recordFault(d + settleTime)
	}
	i.wg.Add(1)
	go func() {
		defer i.wg.Done()
		defer i.release(m)
		f.inject(i.testbed, m, rng, d)
		if !f.planned {
			i.testbed.recordFault(settleTime)
		}
	}()
}

func (i *injector) acquire(m *vm) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.busy[m] {
		return false
	}
	i.busy[m] = true
	return true
}

func (i *injector) release(m *vm) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.busy[m] = false
}
