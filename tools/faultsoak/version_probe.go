package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	probePause = 100 * time.Millisecond
	// applyBound is how long a version may take to be in force at each node.
	applyBound = 4 * time.Second
	// revertSlack is how long answers of the version before may overlap.
	revertSlack = 250 * time.Millisecond
)

// versionProbe watches which version is in force at a node.
type versionProbe struct {
	vm     *vm
	client *http.Client
	boot   int
	// seen is the newest version seen in this boot, at seenAt.
	seen   uint64
	seenAt time.Time
	count  int
}

func newVersionProbe(m *vm) *versionProbe {
	return &versionProbe{vm: m, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: timeLeft}}
}

func (p *versionProbe) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.step()
		select {
		case <-ctx.Done():
		case <-time.After(probePause):
		}
	}
}

// step asks for the newest version and for the one before it.
func (p *versionProbe) step() {
	latest, at := p.vm.world.versions.current()
	boot, ended, stopping, started := p.vm.state()
	if boot != p.boot {
		p.boot, p.seen = boot, 0
	}
	began := time.Now()
	status := p.ask(latest)
	now, ended2, stopping2, _ := p.vm.state()
	if ended || ended2 || stopping || stopping2 || now != boot {
		return
	}
	if status == http.StatusOK && latest > p.seen {
		p.seen, p.seenAt = latest, time.Now()
	}
	since := at
	if started.After(since) {
		since = started
	}
	if status == http.StatusNotFound && began.Sub(since) > applyBound && p.vm.world.calmSince(since.Add(-calmBefore)) {
		p.vm.world.verdict.add("CONFIG", "version %d is not in force at %s %s after it was published", latest, p.vm.ip, began.Sub(since))
	}
	if p.seen < 2 || time.Since(p.seenAt) < revertSlack {
		return
	}
	if seen := p.seen; p.ask(seen-1) == http.StatusOK {
		if now, ended, stopping, _ := p.vm.state(); now == boot && !ended && !stopping {
			p.vm.world.verdict.add("CONFIG", "%s went back from version %d to %d", p.vm.ip, seen, seen-1)
		}
	}
}

// ask returns the status of a call that only one version serves; zero if there
// was no answer.
func (p *versionProbe) ask(version uint64) int {
	p.count++
	id := fmt.Sprintf("%s/probe/%d", p.vm.ip, p.count)
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
