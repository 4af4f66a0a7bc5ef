package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	probeInterval = 100 * time.Millisecond
	// maxApplyDelay is how long a version may take to take effect at each node.
	maxApplyDelay = 4 * time.Second
	// revertGrace is how long a node may still serve the previous version after
	// it first served a newer one.
	revertGrace = 250 * time.Millisecond
)

// versionProbe checks that a node applies new versions in time and does not go
// back to an older one.
type versionProbe struct {
	vm     *vm
	client *http.Client
	boot   int
	// newestServed is the newest version that the node served since its start,
	// first at newestServedAt; zero if none.
	newestServed   uint64
	newestServedAt time.Time
	requestCount   int
}

func newVersionProbe(m *vm) *versionProbe {
	return &versionProbe{vm: m, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}}
}

func (p *versionProbe) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.probe()
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// probe requests the route of the newest published version, and that of the
// version before the newest one served.
func (p *versionProbe) probe() {
	latest, publishedAt := p.vm.testbed.publisher.current()
	boot, disruptedBefore, stoppingBefore, started := p.vm.state()
	if boot != p.boot {
		p.boot, p.newestServed = boot, 0
	}
	start := time.Now()
	status := p.requestVersion(latest)
	currentBoot, disruptedAfter, stoppingAfter, _ := p.vm.state()
	if disruptedBefore || disruptedAfter || stoppingBefore || stoppingAfter || currentBoot != boot {
		return
	}
	if status == http.StatusOK && latest > p.newestServed {
		p.newestServed, p.newestServedAt = latest, time.Now()
	}
	since := publishedAt
	if started.After(since) {
		since = started
	}
	if status == http.StatusNotFound && start.Sub(since) > maxApplyDelay && p.vm.testbed.faultFreeSince(since.Add(-faultFreePeriod)) {
		p.vm.testbed.violations.add("CONFIG", "version %d has not taken effect at %s %s after it was published or the node started", latest, p.vm.ip, start.Sub(since))
	}
	if p.newestServed < 2 || time.Since(p.newestServedAt) < revertGrace {
		return
	}
	if newest := p.newestServed; p.requestVersion(newest-1) == http.StatusOK {
		if currentBoot, disrupted, stopping, _ := p.vm.state(); currentBoot == boot && !disrupted && !stopping {
			p.vm.testbed.violations.add("CONFIG", "%s went back from version %d to %d", p.vm.ip, newest, newest-1)
		}
	}
}

// requestVersion returns the status of a request to the route that only the given
// version has, or zero if there was no response.
func (p *versionProbe) requestVersion(version uint64) int {
	p.requestCount++
	id := fmt.Sprintf("%s/probe/%d", p.vm.ip, p.requestCount)
	req, err := newRequest(context.Background(), p.vm, id, http.MethodGet, versionPath(version), false)
	if err != nil {
		return 0
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
