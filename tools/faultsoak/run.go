package main

import (
	"context"
	"sync"
	"time"
)

const (
	// healing is how long the fleet gets after the last fault.
	healing = 6 * time.Second
	// checkCalls and leastServed bound the recovery: of so many calls after the
	// healing, so many must be served.
	checkCalls  = 200
	leastServed = 190
)

// run plays one seed. It returns an error if the installation cannot start.
func run(o options) (*report, error) {
	w, err := newWorld(o)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	if !w.awaitReady() {
		w.verdict.add("START", "not all nodes are ready after %s", readyLimit)
		return &report{violations: w.verdict.violations()}, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers sync.WaitGroup
	w.startCallers(ctx, &callers)
	newInjector(w).run(o.Duration)
	pause(healing)
	w.versions.publish()
	pause(applyBound + probePause)
	cancel()
	callers.Wait()
	w.checkRecovery()
	pause(timeLeft)
	return &report{steps: w.steps, requests: w.ledger.check(w.verdict), violations: w.verdict.violations()}, nil
}

// checkRecovery reports a fleet that does not serve after the faults.
func (w *world) checkRecovery() {
	served := 0
	for n := range checkCalls {
		c := newCaller(w.vms[n%len(w.vms)], 1)
		c.name += "/recovery"
		c.send(c.name+time.Now().Format(time.RFC3339Nano), "GET", "/safe/x", false)
		served += c.served
	}
	if served < leastServed {
		w.verdict.add("RECOVER", "%d of %d calls are served %s after the last fault", served, checkCalls, healing)
	}
}
