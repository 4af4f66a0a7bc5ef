package dataplane

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/routing"
)

// TestObservationsOfUnusedUpstreamsExpire guards against memory that grows with
// every VM that was ever called, since 1,700 VMs are replaced per day.
func TestObservationsOfUnusedUpstreamsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{picker: routing.NewPicker()}
		x := &exchange{call: &call.Call{Rank: &config.Rank{}}}
		for i := range 100 {
			_ = s.observeAttempt(x, member.Member{VM: fmt.Sprint("vm-", i), Boot: 1}, func() error { return nil })
		}
		time.Sleep(2 * observationTTL)
		_ = s.observeAttempt(x, member.Member{VM: "vm-0", Boot: 1}, func() error { return nil })
		if n := s.picker.TrackedVMs(); n != 1 {
			t.Errorf("observations of %d upstreams are kept, want 1", n)
		}
	})
}
