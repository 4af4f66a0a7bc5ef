package uplink

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// fifoLink is a network link that transmits bytes in the order of their arrival. It
// is safe for concurrent use.
type fifoLink struct {
	bytesPerSecond float64
	// mu guards freeAt, when the link has transmitted all bytes.
	mu     sync.Mutex
	freeAt time.Time
}

// transmit returns once the bytes have been transmitted behind all earlier ones, and
// how long that took.
func (l *fifoLink) transmit(bytes int) time.Duration {
	start := time.Now()
	l.mu.Lock()
	if l.freeAt.Before(start) {
		l.freeAt = start
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	end := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(end))
	return time.Since(start)
}

// Guards against small messages, such as new versions and calls of 600 bytes, that
// wait behind request bodies on a link of 10 Mbit/s: on plmfs-depot-grown they took
// longer than 500 ms in a burst of uploads, and versions were not in force in time. The
// uploads here need half as much bandwidth again as the link has.
func TestSmallMessagesPassRequestBodies(t *testing.T) {
	const (
		rate       = 1_250_000
		uploadSize = 60_000
		interval   = time.Second / 31
		duration   = 5 * time.Second
		// messageLimit is the target of the calls that were late.
		messageLimit = 150 * time.Millisecond
	)
	for name, scheduled := range map[string]bool{"scheduled": true, "not scheduled": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network, link := &fifoLink{bytesPerSecond: rate}, NewLink(rate)
				ctx, cancel := context.WithTimeout(t.Context(), duration)
				defer cancel()
				var uploads sync.WaitGroup
				uploads.Go(func() {
					for ; ctx.Err() == nil; time.Sleep(interval) {
						uploads.Go(func() {
							if !scheduled || link.Reserve(uploadSize, time.Now().Add(2*time.Second)).Receive(ctx) == nil {
								network.transmit(uploadSize)
							}
						})
					}
				})
				slowest := time.Duration(0)
				for ; ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
					slowest = max(slowest, network.transmit(600))
				}
				uploads.Wait()
				if late := slowest > messageLimit; late == scheduled {
					t.Errorf("the slowest message took %s; scheduled bodies: %t, limit %s", slowest, scheduled, messageLimit)
				}
			})
		})
	}
}
