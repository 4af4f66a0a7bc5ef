package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/filbertpier/filbertpier/tools/fleet"
)

const (
	// maxLatencyUs is the largest latency that the histograms record, in
	// microseconds. Longer ones are clipped to it.
	maxLatencyUs = 10_000_000
	// sendInterval is the interval at which the open-loop generator sends the
	// calls that are due.
	sendInterval = time.Millisecond
	// warmup is the initial period that the histograms exclude.
	warmup = 2 * time.Second
)

// load sends calls at a fixed rate, alternating between two paths: directly to
// an upstream and through a node.
type load struct {
	client     *http.Client
	directURLs []string
	nodeVMs    []fleet.VM
	// mu guards the histograms and failed.
	mu      sync.Mutex
	latency [2]*hdrhistogram.Histogram
	failed  int
}

func newLoad(directURLs []string, nodeVMs []fleet.VM) *load {
	l := &load{
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}, Timeout: 10 * time.Second},
		directURLs: directURLs,
		nodeVMs:    nodeVMs,
	}
	for i := range l.latency {
		l.latency[i] = hdrhistogram.New(1, maxLatencyUs, 3)
	}
	return l
}

// run sends rate calls a second on each path.
func (l *load) run(rate int, d time.Duration) {
	var wg sync.WaitGroup
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	start := time.Now()
	sent := 0
	for now := range ticker.C {
		elapsed := now.Sub(start)
		if elapsed >= d {
			break
		}
		for due := int(elapsed.Seconds() * float64(2*rate)); sent < due; sent++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				l.call(sent, elapsed > warmup)
			}()
		}
	}
	wg.Wait()
}

func (l *load) call(n int, record bool) {
	path := n % 2
	url := l.directURLs[n/2%len(l.directURLs)] + "/recall"
	if path == 1 {
		url = l.nodeVMs[n/2%len(l.nodeVMs)].CallURL() + "/recall"
	}
	start := time.Now()
	ok := l.send(url, fmt.Sprintf("call %d", n))
	took := time.Since(start)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok {
		l.failed++
		return
	}
	if record {
		_ = l.latency[path].RecordValue(min(max(took.Microseconds(), 1), maxLatencyUs))
	}
}

func (l *load) send(url, body string) bool {
	resp, err := l.client.Post(url, "text/plain", strings.NewReader(body))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && string(data) == body
}
