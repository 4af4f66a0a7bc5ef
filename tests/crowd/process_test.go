//go:build crowd

package crowd

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/tools/fleet"
)

// samplePeriod is how often the descriptors of the attacked node are counted.
const samplePeriod = 20 * time.Millisecond

// process is the attacked node.
type process struct {
	*fleet.Process
	descriptors atomic.Int64
}

// usage is what a process took at its peak.
type usage struct {
	peakMB, descriptors int64
}

// watch samples the descriptors of a process until it has ended.
func watch(t *testing.T, p *fleet.Process) *process {
	out := &process{Process: p}
	t.Cleanup(p.Kill)
	go func() {
		ticker := time.NewTicker(samplePeriod)
		defer ticker.Stop()
		for {
			select {
			case <-p.Done():
				return
			case <-ticker.C:
			}
			entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
			if n := int64(len(entries)); err == nil && n > out.descriptors.Load() {
				out.descriptors.Store(n)
			}
		}
	}()
	return out
}

// usage returns the peak of the process's resident memory and of its descriptors.
func (p *process) usage() usage {
	u := usage{descriptors: p.descriptors.Load()}
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	for line := range strings.Lines(string(status)) {
		if kb, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, _ := strconv.ParseInt(strings.Fields(kb)[0], 10, 64)
			u.peakMB = n >> 10
		}
	}
	return u
}

func (p *process) ended() bool {
	select {
	case <-p.Done():
		return true
	default:
		return false
	}
}

// awaitServed repeats a request until it is served. It returns false after
// serveTimeout or if the process ends.
func (p *process) awaitServed(served func() bool) bool {
	for deadline := time.Now().Add(serveTimeout); time.Now().Before(deadline) && !p.ended(); time.Sleep(100 * time.Millisecond) {
		if served() {
			return true
		}
	}
	return false
}
