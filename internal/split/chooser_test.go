package split

import (
	"math"
	"testing"

	"github.com/filbertpier/filbertpier/config"
)

// Guards against shares of a few hundred calls that are far from the weights.
func TestSharesFollowTheWeights(t *testing.T) {
	r := &config.Route{Name: "r", Service: "a", Split: []config.SplitPart{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "none"}}}
	c := NewChooser()
	got := map[string]int{}
	for range 300 {
		got[c.Choose(r)]++
	}
	if math.Abs(float64(got["a"])/300-0.9) > 0.02 || got["none"] > 0 {
		t.Errorf("shares %v", got)
	}
}

// Guards against a route without weights that sends its calls nowhere.
func TestNoWeights(t *testing.T) {
	if got := NewChooser().Choose(&config.Route{Name: "r", Service: "a"}); got != "a" {
		t.Errorf("got %q", got)
	}
}
