package main

import (
	"net/http"
	"sync/atomic"
	"time"
)

// storeGate stands before the store and makes it fail. It is an http.Handler
// and safe for concurrent use.
type storeGate struct {
	next http.Handler
	mode atomic.Int32
}

// The ways in which the store fails.
const (
	storeUp = iota
	storeBusy
	storeResets
	storeSilent
	storeSlow
	storeModes
)

const slowAnswer = 600 * time.Millisecond

// ServeHTTP implements http.Handler.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch g.mode.Load() {
	case storeBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case storeResets:
		panic(http.ErrAbortHandler)
	case storeSilent:
		<-r.Context().Done()
		return
	case storeSlow:
		pause(slowAnswer)
	}
	g.next.ServeHTTP(w, r)
}
