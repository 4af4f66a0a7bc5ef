package mesh

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/disconnect"
	"github.com/filbertpier/filbertpier/internal/httpconn"
	"github.com/filbertpier/filbertpier/internal/instance"
	"github.com/filbertpier/filbertpier/internal/placement"
)

// newIdempotentCall returns a call on a new connection, and the caller's end of it.
func newIdempotentCall(t *testing.T) (*request, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return &request{
		arrived: time.Now(), deadline: time.Now().Add(time.Minute),
		route: &config.Route{Idempotent: true}, rank: &config.Rank{Name: "r"}, service: &config.Service{Name: "a"},
		caller: disconnect.FromContext(disconnect.ConnContext(context.Background(), server)),
	}, client
}

// Guards against each kind of send after the caller has left while the context of the
// call has not ended yet.
func TestNothingIsSentOnceTheCallerHasLeft(t *testing.T) {
	s := NewServer(Config{
		Service: "a", Log: hclog.NewNullLogger(), Metrics: NewMetrics(prometheus.NewRegistry()), Directory: instance.NewDirectory(),
	})
	ctx := context.Background()
	policy := &config.RetryPolicy{MaxAttempts: 5, BudgetRatio: 1}
	for range 50 {
		s.budgets.RecordFirstAttempt(time.Now(), "a", policy, 0, false)
	}
	sends := map[string]func(q *request) bool{
		"to another node": func(q *request) bool { return s.refuseIfCallerLeft(ctx, q) == nil },
		"retry":           func(q *request) bool { return s.shouldRetry(ctx, q, notRun(ReasonUnreachable, ""), policy, 0) },
		"second send":     func(q *request) bool { return s.mayResend(ctx, q, &httpconn.BrokenError{Reused: true}) },
	}
	for name, mayBeSent := range sends {
		left, client := newIdempotentCall(t)
		_ = client.Close()
		for deadline := time.Now().Add(5 * time.Second); !left.caller.Closed(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the close of the caller was not seen within 5 s")
			}
		}
		if mayBeSent(left) {
			t.Errorf("%s: allowed although the caller has left", name)
		}
		if waits, _ := newIdempotentCall(t); !mayBeSent(waits) {
			t.Errorf("%s: refused although the caller waits", name)
		}
	}
}

// Guards against counting a call whose caller left as a failure of the upstream.
func TestCallOfCallerThatLeftIsNoFailureOfTheUpstream(t *testing.T) {
	if got := outcomeKind(context.Background(), notRun(ReasonCallerLeft, "")); got != placement.Canceled {
		t.Errorf("outcome %v, want %v", got, placement.Canceled)
	}
}
