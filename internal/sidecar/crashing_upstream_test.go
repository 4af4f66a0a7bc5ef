package sidecar_test

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertpier/filbertpier/internal/disconnect"
)

// crashingUpstream makes a VM's upstream crash: its listener and all its connections
// close at once, and it is back after a while. It is safe for concurrent use.
type crashingUpstream struct {
	vm      *vm
	down    time.Duration
	crashes atomic.Int64
	// mu guards server and up.
	mu     sync.Mutex
	server *http.Server
	up     bool
}

// crash closes the upstream and starts it again after a while. It does nothing while
// the upstream is down.
func (u *crashingUpstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.up {
		return
	}
	u.up = false
	u.crashes.Add(1)
	_ = u.server.Close()
	time.AfterFunc(u.down, u.restart)
}

func (u *crashingUpstream) restart() {
	l, err := net.Listen("tcp", u.vm.addr(0))
	if err != nil {
		u.vm.fleet.t.Errorf("the upstream does not come back: %v", err)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.server = &http.Server{Handler: u.vm.upstream.Config.Handler, ConnContext: disconnect.ConnContext}
	u.up = true
	go func(s *http.Server) { _ = s.Serve(l) }(u.server)
}

// addCrashing adds a VM with an upstream that crashes on the calls for which crashes
// returns true, before it answers them, and is back after down.
func (f *fleet) addCrashing(service, zone string, down time.Duration, crashes func(r *http.Request) bool, handler http.HandlerFunc) *crashingUpstream {
	u := &crashingUpstream{down: down, up: true}
	u.vm = f.add(service, zone, func(w http.ResponseWriter, r *http.Request) {
		if crashes(r) {
			u.crash()
			panic(http.ErrAbortHandler)
		}
		handler(w, r)
	})
	u.server = u.vm.upstream.Config
	f.t.Cleanup(func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		_ = u.server.Close()
	})
	return u
}
