package dataplane_test

import (
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/filbertpier/filbertpier/internal/call"
)

// keyEvent is an execution at an upstream, or a response to a caller.
type keyEvent struct {
	// execution is set for an execution.
	execution bool
	// value is the body of the response; it is set for executions and for
	// responses with ran "yes".
	value string
	// ran is what the response reports; it is set for responses only.
	ran call.Ran
}

// keyHistory records the executions and responses of each key. It is safe for
// concurrent use.
type keyHistory struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func newKeyHistory() *keyHistory { return &keyHistory{start: time.Now()} }

func (h *keyHistory) now() int64 { return int64(time.Since(h.start)) }

func (h *keyHistory) add(key string, called int64, e keyEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{Input: key, Call: called, Output: e, Return: h.now()})
}

// count returns the number of events that match.
func (h *keyHistory) count(match func(keyEvent) bool) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, o := range h.ops {
		if match(o.Output.(keyEvent)) {
			n++
		}
	}
	return n
}

// keyModel models the state of one key: not run, refused, or run once with one
// response. The last two are final. An unknown outcome is consistent with every
// state.
var keyModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range ops {
			byKey[o.Input.(string)] = append(byKey[o.Input.(string)], o)
		}
		var out [][]porcupine.Operation
		for _, part := range byKey {
			out = append(out, part)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		const refused = "refused"
		e, s := output.(keyEvent), state.(string)
		switch {
		case e.execution:
			return s == "", "ran " + e.value
		case e.ran == call.RanYes:
			return s == "ran "+e.value, s
		case e.ran == call.RanNo:
			return s == "" || s == refused, refused
		}
		return true, s
	},
}
