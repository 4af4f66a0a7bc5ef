package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/filbertpier/filbertpier/platform/standin"
)

// versionPublisher publishes configurations. Each version has a route that no
// other has, so that a probe can tell whether a node serves it. It is safe for
// concurrent use.
type versionPublisher struct {
	store *standin.Store
	// mu guards the fields below.
	mu          sync.Mutex
	latest      uint64
	publishedAt time.Time
}

// versionPath returns the prefix of the route that only this version has.
func versionPath(version uint64) string { return fmt.Sprintf("/v-%d/", version) }

// publish publishes the next version.
func (p *versionPublisher) publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latest++
	route := standin.Route{Host: host, Service: "a", Idempotent: true, TimeoutMs: 1200, TargetMs: 300, MaxAttempts: 3}
	idempotent, nonIdempotent, versioned := route, route, route
	idempotent.Prefix, versioned.Prefix = "/safe/", versionPath(p.latest)
	nonIdempotent.Prefix, nonIdempotent.Idempotent, nonIdempotent.Service = "/once/", false, "b"
	p.store.PutConfiguration(p.latest, []standin.Route{idempotent, nonIdempotent, versioned}, "a", "b")
	p.publishedAt = time.Now()
}

// current returns the newest version and when it was published.
func (p *versionPublisher) current() (uint64, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest, p.publishedAt
}
