package mesh

import (
	"context"
	"testing"
	"testing/synctest"
)

// Guards against a planned stop that cuts a response while it is being sent: the
// context of a call also bounds the reading of a response that is not buffered whole.
func TestCancelCallsLeavesResponsesBeingSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{}
		s.callsCanceled, s.cancelCalls = context.WithCancel(t.Context())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		res := s.untilCanceled(cancel, func() *result { return &result{kind: ResultAnswered} })
		s.CancelCalls()
		synctest.Wait()
		if ctx.Err() != nil || res.reason != ReasonNone {
			t.Errorf("context %v, reason %q after the call was answered, want neither", ctx.Err(), res.reason)
		}
	})
}

// Guards against calls that still run when the node closes, and against reporting
// them as left by their callers.
func TestCancelCallsEndsRunningCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{}
		s.callsCanceled, s.cancelCalls = context.WithCancel(t.Context())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		res := s.untilCanceled(cancel, func() *result {
			s.CancelCalls()
			<-ctx.Done()
			return broken(contextReason(ctx), "")
		})
		if res.reason != ReasonLeaving {
			t.Errorf("reason %q, want %q", res.reason, ReasonLeaving)
		}
	})
}
