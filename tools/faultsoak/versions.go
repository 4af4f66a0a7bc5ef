package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/filbertpier/filbertpier/platform/standin"
)

// versions publishes configurations. Each one has a route of its own, which
// shows whether it is in force. It is safe for concurrent use.
type versions struct {
	store *standin.Store
	// mu guards latest and at.
	mu     sync.Mutex
	latest uint64
	at     time.Time
}

func versionPath(version uint64) string { return fmt.Sprintf("/v-%d/", version) }

// publish publishes the next version.
func (v *versions) publish() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.latest++
	route := standin.Route{Host: host, Service: "a", Idempotent: true, TimeoutMs: 1200, TargetMs: 300, MaxAttempts: 3}
	safe, once, own := route, route, route
	safe.Prefix, own.Prefix = "/safe/", versionPath(v.latest)
	once.Prefix, once.Idempotent, once.Service = "/once/", false, "b"
	v.store.PutConfiguration(v.latest, []standin.Route{safe, once, own}, "a", "b")
	v.at = time.Now()
}

// current returns the newest version and when it was published.
func (v *versions) current() (uint64, time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.latest, v.at
}
