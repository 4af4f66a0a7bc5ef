package main

import (
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"time"
)

// faults lists all kinds of faults and planned work.
var faults = []fault{
	{"stop", true, func(_ *testbed, m *vm, _ *rand.Rand, _ time.Duration) {
		if _, disrupted, stopping, _ := m.state(); !disrupted && !stopping {
			m.restart(m.signal(syscall.SIGTERM, false))
		}
	}},
	{"reload", true, func(_ *testbed, m *vm, _ *rand.Rand, _ time.Duration) { m.signal(syscall.SIGHUP, false) }},
	{"publish", true, func(tb *testbed, _ *vm, rng *rand.Rand, _ time.Duration) {
		for range 1 + rng.IntN(4) {
			tb.publisher.publish()
			pause(100 * time.Millisecond)
		}
	}},
	{"replace", true, func(tb *testbed, m *vm, _ *rand.Rand, _ time.Duration) { tb.replaceUpstream(m) }},
	{"kill", false, func(_ *testbed, m *vm, _ *rand.Rand, d time.Duration) {
		p := m.signal(syscall.SIGKILL, true)
		pause(d)
		m.restart(p)
	}},
	{"pause", false, func(_ *testbed, m *vm, _ *rand.Rand, d time.Duration) {
		m.signal(syscall.SIGSTOP, true)
		pause(d)
		m.signal(syscall.SIGCONT, true)
		m.mu.Lock()
		m.disrupted = false
		m.mu.Unlock()
	}},
	{"peers silent", false, func(_ *testbed, m *vm, _ *rand.Rand, d time.Duration) {
		m.peerProxy.DropData(true)
		pause(d)
		m.peerProxy.DropData(false)
		m.peerProxy.CloseConnections()
	}},
	{"replies to peers silent", false, func(_ *testbed, m *vm, _ *rand.Rand, d time.Duration) {
		m.peerProxy.DropReplies(true)
		pause(d)
		m.peerProxy.DropData(false)
		m.peerProxy.CloseConnections()
	}},
	{"peers reset", false, func(_ *testbed, m *vm, _ *rand.Rand, _ time.Duration) { m.peerProxy.CloseConnections() }},
	{"store silent for one node", false, func(_ *testbed, m *vm, _ *rand.Rand, d time.Duration) {
		m.storeProxy.DropData(true)
		pause(d)
		m.storeProxy.DropData(false)
		m.storeProxy.CloseConnections()
	}},
	{"store fails", false, func(tb *testbed, _ *vm, rng *rand.Rand, d time.Duration) {
		tb.faultyStore.mode.Store(1 + rng.Int32N(storeModeCount-1))
		pause(d)
		tb.faultyStore.mode.Store(storeHealthy)
	}},
	{"store compacted", false, func(tb *testbed, _ *vm, _ *rand.Rand, _ time.Duration) { tb.store.Compact() }},
	{"upstream crash", false, func(tb *testbed, m *vm, _ *rand.Rand, d time.Duration) {
		m.upstream.stop()
		pause(d)
		if err := m.upstream.start(); err != nil {
			tb.violations.add("START", "%v", err)
		}
	}},
	{"responses dropped", false, func(_ *testbed, m *vm, _ *rand.Rand, d time.Duration) { injectRate(&m.upstream.faults.drop, 20, d) }},
	{"responses truncated", false, func(_ *testbed, m *vm, _ *rand.Rand, d time.Duration) {
		injectRate(&m.upstream.faults.truncate, 20, d)
	}},
	{"upstream sheds", false, func(_ *testbed, m *vm, _ *rand.Rand, d time.Duration) { injectRate(&m.upstream.faults.shed, 50, d) }},
	{"upstream slow", false, func(_ *testbed, m *vm, _ *rand.Rand, d time.Duration) { injectRate(&m.upstream.faults.slow, 80, d) }},
}

// injectRate sets the rate of an upstream fault to a percentage for d, then to
// zero.
func injectRate(rate *atomic.Int32, percent int32, d time.Duration) {
	rate.Store(percent)
	pause(d)
	rate.Store(0)
}

// replaceUpstream drains the upstream of a VM and starts a new one in its place.
func (tb *testbed) replaceUpstream(m *vm) {
	m.upstream.drain()
	pause(300 * time.Millisecond)
	if err := m.upstream.start(); err != nil {
		tb.violations.add("START", "%v", err)
	}
}
