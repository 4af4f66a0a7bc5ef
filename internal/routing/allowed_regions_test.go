package routing

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/filbertpier/filbertpier/internal/member"
)

// Guards against a call that reaches a region which its route does not allow, on any
// attempt and whatever the outcome of earlier calls.
func TestPickStaysInAllowedRegions(t *testing.T) {
	regions := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		var members []member.Member
		for n := range rapid.IntRange(1, 8).Draw(t, "members") {
			m := vm(fmt.Sprint("vm", n), fmt.Sprint("z", n%4), time.Hour)
			m.Region = rapid.SampledFrom(regions).Draw(t, "region")
			members = append(members, m)
		}
		h := newHarness(false, members...)
		h.query.AllowedRegions = rapid.SliceOfNDistinct(rapid.SampledFrom(regions), 1, 3, rapid.ID[string]).Draw(t, "allowed")
		h.query.Exclude = map[string]bool{}
		for {
			h.query.View = h.table.View(h.now)
			d, err := h.pick(h.now, h.query)
			if err != nil {
				var none *NoUpstreamError
				if !errors.As(err, &none) || none.Known != len(members) {
					t.Fatalf("got error %v, want a NoUpstreamError with %d known upstreams", err, len(members))
				}
				return
			}
			if !h.query.AllowedRegions.Allows(d.Member.Region) {
				t.Fatalf("picked region %s, allowed are %v", d.Member.Region, h.query.AllowedRegions)
			}
			h.picker.Start(h.now, d.Member)
			h.now = h.now.Add(time.Second)
			h.picker.Finish(h.now, d.Member, Result{Outcome: rapid.SampledFrom([]Outcome{OutcomeRefused, OutcomeFailed, OutcomeNoResponse}).Draw(t, "outcome")})
			h.query.Exclude[d.Member.VM] = true
		}
	})
}
