package notice

import (
	"errors"
	"testing"

	"github.com/filbertpier/filbertpier/internal/instance"
)

// Guards against limits taken from malformed headers, and against a limit of zero
// that no later response could lift.
func TestParseCallLimit(t *testing.T) {
	for text, want := range map[string]float64{"": 0, "52.4": 52.4, "7": 7, "0": minCallsPerSecond, "0.1": minCallsPerSecond} {
		if got, err := ParseCallLimit(text); err != nil || got != want {
			t.Errorf("%q: got %g, %v, want %g", text, got, err, want)
		}
	}
	for _, text := range []string{"NaN", "Inf", "-1", "5 a second", "1e999"} {
		var invalid *CallLimitError
		if got, err := ParseCallLimit(text); !errors.As(err, &invalid) || invalid.Text != text {
			t.Errorf("%q: got %g, %v, want a *CallLimitError", text, got, err)
		}
	}
}

// Guards against applying the limit of an upstream to the next one on the VM.
func TestCallLimitAppliesToOneInstance(t *testing.T) {
	var l CallLimit
	old, next := &instance.Instance{ID: "old", StartedAtMs: 1}, &instance.Instance{ID: "new", StartedAtMs: 2}
	if !l.Set(old, 20) || l.Set(old, 20) || l.Get(old) != 20 {
		t.Errorf("limit of the instance is %g, want 20, set once", l.Get(old))
	}
	for _, i := range []*instance.Instance{next, {ID: "old", StartedAtMs: 2}} {
		if got := l.Get(i); got != 0 {
			t.Errorf("limit of %s started at %d ms is %g, want none", i.ID, i.StartedAtMs, got)
		}
	}
	if !l.Set(old, 0) || l.Get(old) != 0 {
		t.Errorf("limit is %g after a response without one, want none", l.Get(old))
	}
}
