package intake

import (
	"sync/atomic"
	"time"
)

// progress measures how fast a client sends the current request or reads its response:
// the bytes that it moved and the time that the node spent waiting for it. It is safe
// for concurrent use.
type progress struct {
	// readingSince and writingSince are when the pending read or write began, in Unix
	// nanoseconds; zero if there is none.
	readingSince, writingSince atomic.Int64
	// waited is the time of the finished reads and writes in nanoseconds, moved their
	// bytes.
	waited, moved atomic.Int64
}

// reset begins a new request or response.
func (p *progress) reset() {
	p.waited.Store(0)
	p.moved.Store(0)
}

func (p *progress) beginRead(now time.Time)  { p.readingSince.Store(now.UnixNano()) }
func (p *progress) beginWrite(now time.Time) { p.writingSince.Store(now.UnixNano()) }

// endRead records a read of n bytes. It counts only if the node waited for a request.
func (p *progress) endRead(began, now time.Time, n int, waits bool) {
	p.readingSince.Store(0)
	if waits {
		p.add(now.Sub(began), n)
	}
}

func (p *progress) endWrite(began, now time.Time, n int) {
	p.writingSince.Store(0)
	p.add(now.Sub(began), n)
}

func (p *progress) add(d time.Duration, n int) {
	p.waited.Add(int64(d))
	p.moved.Add(int64(n))
}

// readingFor returns how long the pending read has lasted; zero if there is none.
func (p *progress) readingFor(now time.Time) time.Duration { return since(now, p.readingSince.Load()) }

// behind returns by how much the time spent waiting exceeds that of a client at
// minBytesPerSecond. A pending read counts only if the node waits for a request. It is
// zero if nothing that counts is pending.
func (p *progress) behind(now time.Time, waitsForRequest bool) time.Duration {
	pending := since(now, p.writingSince.Load())
	if pending == 0 && waitsForRequest {
		pending = p.readingFor(now)
	}
	if pending == 0 {
		return 0
	}
	allowed := time.Duration(float64(p.moved.Load()) / minBytesPerSecond * float64(time.Second))
	return max(time.Duration(p.waited.Load())+pending-allowed, 0)
}

// since returns the time from a Unix time in nanoseconds, at least 1 ns; zero if that is
// zero.
func since(now time.Time, unixNano int64) time.Duration {
	if unixNano == 0 {
		return 0
	}
	return max(time.Duration(now.UnixNano()-unixNano), 1)
}
