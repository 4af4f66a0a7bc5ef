package endless

import (
	"context"
	"runtime"
	"testing"
	"time"
)

// sampleInterval is how often PeakHeap reads the size of the heap.
const sampleInterval = 5 * time.Millisecond

// maxGrowth is the growth at which PeakHeap ends f, which keeps all bytes then.
const maxGrowth = 1 << 30

// PeakHeap runs f and returns by how many bytes the heap of the process grew meanwhile.
// It ends the context of f if the growth endangers the machine.
func PeakHeap(t testing.TB, f func(ctx context.Context)) uint64 {
	t.Helper()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before, peak := m.HeapAlloc, m.HeapAlloc
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		defer close(done)
		f(ctx)
	}()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return peak - before
		case <-ticker.C:
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapAlloc)
			if peak-before > maxGrowth {
				cancel()
			}
		}
	}
}
