package main

import (
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"time"
)

// faults lists all kinds of trouble.
var faults = []fault{
	{"stop", true, func(_ *world, m *vm, _ *rand.Rand, _ time.Duration) {
		if _, ended, stopping, _ := m.state(); !ended && !stopping {
			m.restart(m.signal(syscall.SIGTERM, false))
		}
	}},
	{"reload", true, func(_ *world, m *vm, _ *rand.Rand, _ time.Duration) { m.signal(syscall.SIGHUP, false) }},
	{"publish", true, func(w *world, _ *vm, rng *rand.Rand, _ time.Duration) {
		for range 1 + rng.IntN(4) {
			w.versions.publish()
			pause(100 * time.Millisecond)
		}
	}},
	{"replace", true, func(w *world, m *vm, _ *rand.Rand, _ time.Duration) {
		m.upstream.drain()
		pause(300 * time.Millisecond)
		if err := m.upstream.start(); err != nil {
			w.verdict.add("START", "%v", err)
		}
	}},
	{"kill", false, func(_ *world, m *vm, _ *rand.Rand, d time.Duration) {
		p := m.signal(syscall.SIGKILL, true)
		pause(d)
		m.restart(p)
	}},
	{"pause", false, func(_ *world, m *vm, _ *rand.Rand, d time.Duration) {
		m.signal(syscall.SIGSTOP, true)
		pause(d)
		m.signal(syscall.SIGCONT, true)
		m.mu.Lock()
		m.ended = false
		m.mu.Unlock()
	}},
	{"peers silent", false, func(_ *world, m *vm, _ *rand.Rand, d time.Duration) {
		m.peers.DropData(true)
		pause(d)
		m.peers.DropData(false)
		m.peers.CloseConnections()
	}},
	{"answers to peers silent", false, func(_ *world, m *vm, _ *rand.Rand, d time.Duration) {
		m.peers.DropReplies(true)
		pause(d)
		m.peers.DropData(false)
		m.peers.CloseConnections()
	}},
	{"peers reset", false, func(_ *world, m *vm, _ *rand.Rand, _ time.Duration) { m.peers.CloseConnections() }},
	{"store silent for one", false, func(_ *world, m *vm, _ *rand.Rand, d time.Duration) {
		m.store.DropData(true)
		pause(d)
		m.store.DropData(false)
		m.store.CloseConnections()
	}},
	{"store fails", false, func(w *world, _ *vm, rng *rand.Rand, d time.Duration) {
		w.storeGate.mode.Store(1 + rng.Int32N(storeModes-1))
		pause(d)
		w.storeGate.mode.Store(storeUp)
	}},
	{"store forgets", false, func(w *world, _ *vm, _ *rand.Rand, _ time.Duration) { w.store.Compact() }},
	{"upstream crash", false, func(w *world, m *vm, _ *rand.Rand, d time.Duration) {
		m.upstream.stop()
		pause(d)
		if err := m.upstream.start(); err != nil {
			w.verdict.add("START", "%v", err)
		}
	}},
	{"answers lost", false, func(_ *world, m *vm, _ *rand.Rand, d time.Duration) { share(&m.upstream.faults.lose, 20, d) }},
	{"answers cut short", false, func(_ *world, m *vm, _ *rand.Rand, d time.Duration) {
		share(&m.upstream.faults.truncate, 20, d)
	}},
	{"upstream sheds", false, func(_ *world, m *vm, _ *rand.Rand, d time.Duration) { share(&m.upstream.faults.shed, 50, d) }},
	{"upstream slow", false, func(_ *world, m *vm, _ *rand.Rand, d time.Duration) { share(&m.upstream.faults.slow, 80, d) }},
}

// share makes a share of the calls fail for some time.
func share(s *atomic.Int32, percent int32, d time.Duration) {
	s.Store(percent)
	pause(d)
	s.Store(0)
}
