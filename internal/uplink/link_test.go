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
