package once

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

var epoch = time.UnixMilli(1_700_000_000_000)

func key(n byte, issued time.Time) Key { return NewKey(issued, "vm-1", 7, [16]byte{n}) }

// TestKeyTextRoundTrips guards against keys that name another owner after
// parsing, and against accepting text that no node issued.
func TestKeyTextRoundTrips(t *testing.T) {
	k := NewKey(epoch, "zone.a-1", 99, [16]byte{1, 2, 3})
	for _, text := range []string{k.String(), `"` + k.String() + `"`} {
		if got, err := ParseKey(text); err != nil || got != k {
			t.Errorf("ParseKey(%q) = %+v, %v", text, got, err)
		}
	}
	var malformed *MalformedKeyError
	for _, text := range []string{"", "1.2.3", "8e03978e-40d5-43dd-bc93-6894a57f9324", k.String()[1:], "2" + k.String()[1:],
		"1.2r.loyw3v28.0102.vm", "1.-1.loyw3v28." + "00000000000000000000000000000000" + ".vm"} {
		if _, err := ParseKey(text); !errors.As(err, &malformed) {
			t.Errorf("ParseKey(%q) did not return a MalformedKeyError", text)
		}
	}
}

// TestDiscardedKeyNeverRunsAgain guards against a second run after expiry, also
// when the clock steps back.
func TestDiscardedKeyNeverRunsAgain(t *testing.T) {
	tab := NewTable(Config{})
	k := key(1, epoch)
	d := tab.Begin(epoch, k, Fingerprint{})
	tab.Finish(epoch, d.Execution, Result{State: StateDone, Response: &Response{Status: 200}})
	for _, elapsed := range []time.Duration{KeyValidity - time.Millisecond, KeyValidity, 0} {
		want := ActionExpired
		if elapsed == KeyValidity-time.Millisecond {
			want = ActionReplay
		}
		if got := tab.Begin(epoch.Add(elapsed), k, Fingerprint{}).Action; got != want {
			t.Errorf("after %v: %v, want %v", elapsed, got, want)
		}
	}
	if tab.Len() != 0 {
		t.Errorf("%d keys held after expiry", tab.Len())
	}
}

// TestKeyRefusedByFullTableNeverRuns guards against a call that was reported as
// not run and then runs from a delayed copy, when the table has room again.
func TestKeyRefusedByFullTableNeverRuns(t *testing.T) {
	tab := NewTable(Config{MaxKeys: shardCount})
	old := NewKey(epoch, "vm-1", 7, [16]byte{1})
	tab.Begin(epoch, old, Fingerprint{})
	var refused Key
	for n := byte(2); ; n++ {
		refused = key(n, epoch.Add(time.Second))
		if tab.shard(refused) == tab.shard(old) {
			break
		}
	}
	for _, elapsed := range []time.Duration{time.Second, KeyValidity + 100*time.Millisecond} {
		if got := tab.Begin(epoch.Add(elapsed), refused, Fingerprint{}).Action; got != ActionFull {
			t.Errorf("after %v: %v, want full", elapsed, got)
		}
	}
}

// TestKeyReuseIsRejected guards against returning the response of one request to
// another that was sent with the same key, and against keeping a response above
// the size limit.
func TestKeyReuseIsRejected(t *testing.T) {
	tab := NewTable(Config{})
	d := tab.Begin(epoch, key(1, epoch), Fingerprint{1})
	tab.Finish(epoch, d.Execution, Result{State: StateDone, Response: &Response{Body: make([]byte, MaxResponseBytes+1)}})
	if got := tab.Begin(epoch, key(1, epoch), Fingerprint{2}).Action; got != ActionMismatch {
		t.Errorf("another request with the same key: %v, want mismatch", got)
	}
	if got := tab.Begin(epoch, key(1, epoch), Fingerprint{1}); got.Action != ActionReplay || got.Execution.Result().Response != nil {
		t.Errorf("response above the size limit: %+v, want replay without a response", got)
	}
}

// TestTableIsLinearizable guards against two runs, or two responses, of one key
// under concurrent calls.
func TestTableIsLinearizable(t *testing.T) {
	const keys, callers, rounds = 20, 8, 40
	tab := NewTable(Config{})
	var clock, value atomic.Int64
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	for c := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range rounds {
				n := (c + i) % keys
				start := clock.Add(1)
				d := tab.Begin(epoch, key(byte(n), epoch), Fingerprint{})
				if d.Action == ActionRun {
					body := fmt.Append(nil, value.Add(1))
					tab.Finish(epoch, d.Execution, Result{State: StateDone, Response: &Response{Body: body}})
				}
				<-d.Execution.Done()
				got := string(d.Execution.Result().Response.Body)
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: c, Input: n, Call: start,
					Output: [2]any{d.Action == ActionRun, got}, Return: clock.Add(1)})
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	model := porcupine.Model{
		Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
			parts := make([][]porcupine.Operation, keys)
			for _, o := range h {
				parts[o.Input.(int)] = append(parts[o.Input.(int)], o)
			}
			return parts
		},
		Init: func() any { return "" },
		Step: func(state, _, output any) (bool, any) {
			ran, got := output.([2]any)[0].(bool), output.([2]any)[1].(string)
			if state == "" {
				return ran, got
			}
			return !ran && state == got, state
		},
	}
	// All calls of a key return after its run has started, so they can be ordered
	// after it: the history is linearizable exactly if each key ran once and all
	// its calls got the response of that run.
	if !porcupine.CheckOperations(model, history) {
		t.Error("the history is not linearizable")
	}
}
