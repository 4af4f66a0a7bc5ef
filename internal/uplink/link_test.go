package uplink

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a link on which transfers stall, or go faster than its rate,
// when many send at once and some give up.
func TestTransfersShareTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLink(1_000_000)
		began := time.Now()
		body := bytes.Repeat([]byte("x"), 90_000)
		done := make(chan error)
		for i := range 10 {
			go func() {
				tr := l.Reserve(50_000, began.Add(time.Duration(i)*time.Second))
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
					t.Errorf("%d bytes sent", out.Len())
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
			t.Errorf("%d transfers gave up, want the last one", failed)
		}
		if took := time.Since(began); took < 850*time.Millisecond || took > time.Second {
			t.Errorf("nine answers of 90 KB took %s at 0.9 MB/s", took)
		}
		time.Sleep(time.Second)
		if left := l.Backlog(); left != 0 {
			t.Errorf("backlog %s after all ended", left)
		}
	})
}
