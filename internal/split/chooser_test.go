package split

import (
	"math"
	"testing"

	"github.com/filbertpier/filbertpier/config"
)

// Guards against a split of a few hundred calls that is far from the weights,
// and against calls to a service without a weight.
func TestSharesFollowTheWeights(t *testing.T) {
	r := &config.Route{Name: "r", Service: "a", Split: []config.SplitPart{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "none"}}}
	c := NewChooser()
	got := map[string]int{}
	for range 300 {
		got[c.Choose(r)]++
	}
	if math.Abs(float64(got["a"])/300-0.9) > 0.02 || got["none"] > 0 {
		t.Errorf("calls per service: %v, want 264 to 276 of 300 for a and 0 for the service without a weight", got)
	}
}

// Guards against a route without a split for which no service is returned.
func TestNoWeights(t *testing.T) {
	if got := NewChooser().Choose(&config.Route{Name: "r", Service: "a"}); got != "a" {
		t.Errorf("got service %q, want the route's", got)
	}
}
