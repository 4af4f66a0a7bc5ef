package main

import (
	"context"
	"sync"
	"time"
)

const (
	// recoveryTime is how long the fleet may take to recover from the last fault.
	recoveryTime = 6 * time.Second
	// At least minServedCalls of recoveryCalls must be served after recoveryTime.
	recoveryCalls  = 200
	minServedCalls = 190
)

// run runs one seed. It returns an error if the testbed cannot start.
func run(o options) (*report, error) {
	tb, err := newTestbed(o)
	if tb != nil {
		defer tb.close()
	}
	if err != nil {
		return nil, err
	}
	if !tb.awaitReady() {
		tb.violations.add("START", "not all nodes are ready after %s", readyTimeout)
		return &report{violations: tb.violations.all()}, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers sync.WaitGroup
	tb.startCallers(ctx, &callers)
	newInjector(tb).run(o.Duration)
	tb.returnStoreInCalm()
	pause(recoveryTime)
	tb.publisher.publish()
	pause(maxApplyDelay + probeInterval)
	cancel()
	callers.Wait()
	tb.checkRecovery()
	pause(requestTimeout)
	return &report{steps: tb.steps, requests: tb.ledger.check(tb.violations), violations: tb.violations.all()}, nil
}

// checkRecovery reports a fleet that does not serve enough calls after the
// faults.
func (tb *testbed) checkRecovery() {
	served := 0
	for n := range recoveryCalls {
		c := newCaller(tb.vms[n%len(tb.vms)], 1)
		c.name += "/recovery"
		c.send(c.name+time.Now().Format(time.RFC3339Nano), "GET", "/safe/x", false)
		served += c.served
	}
	if served < minServedCalls {
		tb.violations.add("RECOVER", "%d of %d calls were served %s after the last fault", served, recoveryCalls, recoveryTime)
	}
}
