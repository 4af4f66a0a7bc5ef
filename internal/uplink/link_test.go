package uplink

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against transfers that stall, or exceed the rate of the link, when
// many send at the same time and one times out.
func TestTransfersShareTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLink(1_000_000)
		start := time.Now()
		body := bytes.Repeat([]byte("x"), 90_000)
		done := make(chan error)
		for i := range 10 {
			go func() {
				tr := l.Reserve(50_000, start.Add(time.Duration(i)*time.Second))
				defer tr.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
				if i < 9 {
					cancel()
					ctx, cancel = context.WithCancel(t.Context())
				}
				defer cancel()
				var out bytes.Buffer
				err := tr.Write(ctx, &out, body)
				if err == nil && out.Len() != len(body) {
					t.Errorf("%d bytes sent, want %d", out.Len(), len(body))
				}
				done <- err
			}()
		}
		failed := 0
		for range 10 {
			if err := <-done; errors.Is(err, context.DeadlineExceeded) {
				failed++
			} else if err != nil {
				t.Error(err)
			}
		}
		if failed != 1 {
			t.Errorf("%d transfers timed out, want 1", failed)
		}
		if took := time.Since(start); took < 850*time.Millisecond || took > time.Second {
			t.Errorf("nine responses of 90 KB took %s at 0.9 MB/s", took)
		}
		time.Sleep(time.Second)
		if left := l.Backlog(); left != 0 {
			t.Errorf("backlog %s after all transfers ended, want 0", left)
		}
	})
}

// Guards against large request bodies that all arrive at once and fill the VM's link:
// on VMs with links of 10 Mbit/s, small calls waited behind uploads of 60 KB until
// their deadline. Bodies must be asked for in the order in which they are due, and the
// bytes on their way must never take longer than maxQueueDelay and one body.
func TestReceivedBodiesDoNotQueueOnTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, size, bodies = 1_000_000, 60_000, 20
		l := NewLink(rate)
		start := time.Now()
		order := make(chan int, bodies)
		for i := range bodies {
			go func() {
				due := start.Add(time.Duration(bodies-i) * time.Second)
				if err := l.Reserve(size, due).Receive(t.Context()); err != nil {
					t.Error(err)
				}
				l.mu.Lock()
				delay := time.Until(l.scheduler.linkFreeAt)
				limit := maxQueueDelay + l.scheduler.duration(size)
				l.mu.Unlock()
				if delay > limit {
					t.Errorf("%s of bytes on their way, want at most %s", delay, limit)
				}
				order <- i
			}()
		}
		synctest.Wait()
		first := <-order
		previous := bodies
		for range bodies - 1 {
			i := <-order
			if i == first {
				continue
			}
			if i > previous {
				t.Errorf("body %d was asked for after body %d, which was due later", i, previous)
			}
			previous = i
		}
		if took, minimum := time.Since(start), time.Duration(float64((bodies-2)*size)/rate*float64(time.Second)); took < minimum {
			t.Errorf("%d bodies were asked for within %s, want at least %s", bodies, took, minimum)
		}
	})
}
