package dataplane_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/testkit/nodes"
)

// recordingUpstream returns an upstream that records its executions in h. Each
// execution has a different response.
func recordingUpstream(h *keyHistory, runs *atomic.Int64, work time.Duration) func(string) http.Handler {
	return func(string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			called := h.now()
			_, _ = io.Copy(io.Discard, r.Body)
			value := strconv.FormatInt(runs.Add(1), 10)
			h.add(r.Header.Get(call.HeaderIdempotencyKey), called, keyEvent{execution: true, value: value})
			timer := time.NewTimer(work)
			defer timer.Stop()
			<-timer.C
			_, _ = io.WriteString(w, value)
		})
	}
}

// sendKeyed sends a call with a key and records the response in h.
func sendKeyed(h *keyHistory, client *http.Client, base, key string, headers ...string) response {
	called := h.now()
	r := send(client, base, http.MethodPost, "/refunds/1", "", append(headers, call.HeaderIdempotencyKey, key)...)
	e := keyEvent{ran: r.ran}
	switch {
	case r.err != nil || r.ran == call.RanYes && r.status != http.StatusOK:
		e.ran = call.RanUnknown
	case r.ran == call.RanYes:
		e.value = r.body
	}
	h.add(key, called, e)
	return r
}

func checkHistory(t *testing.T, h *keyHistory) {
	t.Helper()
	if res := porcupine.CheckOperationsTimeout(keyModel, h.ops, 20*time.Second); res != porcupine.Ok {
		t.Errorf("linearizability of the key history: %v, want Ok", res)
	}
}

// TestKeyedCallsRunOnce guards against a second execution and against wrong
// responses when calls are resent to other nodes while nodes stop, restart with
// empty memory and lose their connections.
func TestKeyedCallsRunOnce(t *testing.T) {
	h, runs := newKeyHistory(), &atomic.Int64{}
	s := clusterSpec("a", "b", "c")
	s.Links = true
	c := nodes.Start(t, s, recordingUpstream(h, runs, 5*time.Millisecond))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 6 {
		client := newClient(t)
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				issued := send(client, c.VMs[0].URL(), http.MethodPost, call.KeysPath+"?route=refunds", "")
				if issued.status != http.StatusCreated {
					continue
				}
				key := strings.Split(issued.body, `"`)[3]
				var copies sync.WaitGroup
				for range 3 {
					copies.Add(1)
					go func() {
						defer copies.Done()
						sendKeyed(h, client, c.VMs[rand.IntN(len(c.VMs))].URL(), key, call.HeaderDeadline, "1500")
					}()
				}
				copies.Wait()
			}
		}()
	}
	faultTicker := time.NewTicker(300 * time.Millisecond)
	defer faultTicker.Stop()
	// c.VMs[0] issues the keys, so it is not stopped.
	for _, v := range vmsOfService(c, "refunds") {
		<-faultTicker.C
		v.Link.CloseConnections()
		<-faultTicker.C
		v.Node.Close()
		<-faultTicker.C
		c.StartNode(v)
		c.AwaitReady(v)
		<-faultTicker.C
		_ = c.Upstream(v).Close()
		c.StartUpstream(v, recordingUpstream(h, runs, 5*time.Millisecond)(""))
	}
	close(stop)
	wg.Wait()
	checkHistory(t, h)
	countReported := func(ran call.Ran) int {
		return h.count(func(e keyEvent) bool { return !e.execution && e.ran == ran })
	}
	t.Logf("%d runs; reported as run %d, not run %d, unknown %d", runs.Load(), countReported(call.RanYes), countReported(call.RanNo), countReported(call.RanUnknown))
	if countReported(call.RanYes) < 50 || countReported(call.RanUnknown) == 0 {
		t.Error("too few calls succeeded, or no fault led to an unknown outcome")
	}
}

// TestOwnerGone guards against running a call outside the process that owns its
// key, and against reporting "not run" when an earlier copy may have run.
func TestOwnerGone(t *testing.T) {
	h, runs := newKeyHistory(), &atomic.Int64{}
	c := nodes.Start(t, clusterSpec("a"), recordingUpstream(h, runs, 0))
	client, entry, owner := newClient(t), c.VMs[0], c.VMs[1]
	usedKey, unusedKey := issueKey(t, client, entry.URL()), issueKey(t, client, entry.URL())
	if r := sendKeyed(h, client, entry.URL(), usedKey); r.status != http.StatusOK {
		t.Fatalf("first call: %+v", r)
	}
	owner.Node.Close()
	for _, key := range []string{usedKey, unusedKey} {
		if r := sendKeyed(h, client, entry.URL(), key); r.ran != call.RanUnknown || r.problem.Type != call.ProblemOutcomeUnknown {
			t.Errorf("owner down: %+v, want an unknown outcome", r)
		}
	}
	c.StartNode(owner)
	c.AwaitReady(owner)
	c.AwaitReady(entry)
	for _, base := range []string{entry.URL(), owner.URL()} {
		for _, key := range []string{usedKey, unusedKey} {
			if r := sendKeyed(h, client, base, key); r.ran != call.RanUnknown || r.problem.Type != call.ProblemOutcomeUnknown {
				t.Errorf("owner restarted: %+v, want an unknown outcome", r)
			}
		}
	}
	if runs.Load() != 1 {
		t.Errorf("%d runs, want 1", runs.Load())
	}
	checkHistory(t, h)
}

// TestKeysAreRequired guards against running non-idempotent calls without a
// key, with a key that no node issued, or with the key of another request.
func TestKeysAreRequired(t *testing.T) {
	h, runs := newKeyHistory(), &atomic.Int64{}
	c := nodes.Start(t, clusterSpec("a"), recordingUpstream(h, runs, 0))
	client, base := newClient(t), c.VMs[0].URL()
	for _, key := range []string{"", "8e03978e-40d5-43dd-bc93-6894a57f9324"} {
		r := sendKeyed(h, client, base, key)
		if r.ran != call.RanNo || r.problem.Type != call.ProblemKeyRequired {
			t.Errorf("key %q: %+v, want key required", key, r)
		}
	}
	key := issueKey(t, client, base)
	first, second := sendKeyed(h, client, base, key), sendKeyed(h, client, base, key)
	if first.status != http.StatusOK || second.body != first.body || runs.Load() != 1 {
		t.Errorf("first response %+v, second %+v, %d runs; want one run and the same body", first, second, runs.Load())
	}
	r := send(client, base, http.MethodPost, "/refunds/1", "other", call.HeaderIdempotencyKey, key)
	if r.problem.Type != call.ProblemKeyReused || r.ran != call.RanNo {
		t.Errorf("another request with the same key: %+v, want key reused", r)
	}
}

// TestCopyAfterDeadlineDoesNotRun guards against an owner that is paused beyond
// the deadline and then runs the calls waiting on its connections.
func TestCopyAfterDeadlineDoesNotRun(t *testing.T) {
	h, runs := newKeyHistory(), &atomic.Int64{}
	c := nodes.Start(t, clusterSpec("a"), recordingUpstream(h, runs, 0))
	client, owner := newClient(t), c.VMs[1]
	key := issueKey(t, client, owner.URL())
	past := time.Now().Add(-time.Second).UnixMilli()
	r := sendKeyed(h, client, owner.URL(), key, call.HeaderTarget, owner.Settings.VM, call.HeaderDeadline, "5000",
		call.HeaderExpires, fmt.Sprint(past))
	if r.problem.Type != call.ProblemDeadline || r.ran != call.RanUnknown || runs.Load() != 0 {
		t.Errorf("copy after its deadline: %+v, %d runs; want an unknown outcome and no run", r, runs.Load())
	}
	if r := sendKeyed(h, client, owner.URL(), key); r.status != http.StatusOK {
		t.Errorf("call with the same key before its deadline: %+v, want status 200", r)
	}
}

// TestResentCallGetsResponseAfterCallerDisconnects guards against an unknown
// outcome because the first caller's connection broke while the call ran.
func TestResentCallGetsResponseAfterCallerDisconnects(t *testing.T) {
	h, runs := newKeyHistory(), &atomic.Int64{}
	c := nodes.Start(t, clusterSpec("a"), recordingUpstream(h, runs, 200*time.Millisecond))
	client, base := newClient(t), c.VMs[0].URL()
	key := issueKey(t, client, base)
	shortTimeoutClient := &http.Client{Timeout: 50 * time.Millisecond}
	if r := sendKeyed(h, shortTimeoutClient, base, key); r.err == nil {
		t.Fatalf("the first call did not time out: %+v", r)
	}
	if r := sendKeyed(h, client, c.VMs[1].URL(), key); r.status != http.StatusOK || r.body != "1" || runs.Load() != 1 {
		t.Errorf("resent call: %+v, %d runs; want the first run's response", r, runs.Load())
	}
	checkHistory(t, h)
}

// TestTransportDoesNotResend guards against a second execution by
// http.Transport, which resends a request with an idempotency key when a reused
// connection breaks.
func TestTransportDoesNotResend(t *testing.T) {
	var runs atomic.Int64
	c := nodes.Start(t, clusterSpec("a"), func(string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if runs.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
		})
	})
	client := newClient(t)
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		runs.Store(0)
		for i, want := range []call.Ran{call.RanYes, call.RanUnknown} {
			r := send(client, c.VMs[1].URL(), method, "/refunds/1", "", call.HeaderIdempotencyKey, issueKey(t, client, c.VMs[0].URL()))
			if r.ran != want || runs.Load() != int64(i+1) {
				t.Errorf("%s call %d: %d runs in total, want one per call; response %+v", method, i, runs.Load(), r)
			}
		}
	}
}
