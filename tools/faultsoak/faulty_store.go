package main

import (
	"net/http"
	"sync/atomic"
	"time"
)

// faultyStore forwards requests to the store and injects faults. It is an
// http.Handler and safe for concurrent use.
type faultyStore struct {
	next http.Handler
	mode atomic.Int32
	// away is set while the store is away before it returns from a copy.
	away atomic.Bool
}

// The modes of a faultyStore. storeModeCount is the number of modes.
const (
	storeHealthy = iota
	storeUnavailable
	storeResets
	storeSilent
	storeSlow
	storeModeCount
)

const slowStoreDelay = 600 * time.Millisecond

// ServeHTTP forwards, delays or fails the request, depending on the mode.
func (s *faultyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.away.Load() {
		panic(http.ErrAbortHandler)
	}
	switch s.mode.Load() {
	case storeUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case storeResets:
		panic(http.ErrAbortHandler)
	case storeSilent:
		<-r.Context().Done()
		return
	case storeSlow:
		pause(slowStoreDelay)
	}
	s.next.ServeHTTP(w, r)
}
