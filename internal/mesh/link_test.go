package mesh

import (
	"testing"
	"time"
)

// Guards against running calls whose large answer the VM's link cannot send in
// time: the run and the bytes would be wasted, and the answers behind them late
// as well.
func TestResponseTooLateForTheLinkIsRefused(t *testing.T) {
	now := time.Now()
	q := &request{due: now.Add(time.Second), deadline: now.Add(4 * time.Second)}
	for _, c := range []struct {
		name                      string
		backlog, service, sending time.Duration
		late                      bool
	}{
		{"fits", 500 * time.Millisecond, 400 * time.Millisecond, 100 * time.Millisecond, false},
		{"late behind the backlog", 900 * time.Millisecond, 400 * time.Millisecond, 200 * time.Millisecond, true},
		{"late if it takes a little longer than usual", 600 * time.Millisecond, 400 * time.Millisecond, 200 * time.Millisecond, true},
		{"target lost, idle link", 50 * time.Millisecond, 2 * time.Second, 100 * time.Millisecond, false},
		{"target lost, busy link", 600 * time.Millisecond, 2 * time.Second, 100 * time.Millisecond, true},
		{"after the deadline", 50 * time.Millisecond, 4 * time.Second, 100 * time.Millisecond, true},
	} {
		if got := lateness(now, q, c.backlog, c.service, c.sending) > 0; got != c.late {
			t.Errorf("%s: refused %v, want %v", c.name, got, c.late)
		}
	}
}

// Guards against calls from other regions that take the room of calls of the own
// region, which then go to other regions themselves.
func TestOwnRegionGetsLargerLinkShare(t *testing.T) {
	now := time.Now()
	own := &request{due: now.Add(time.Second), deadline: now.Add(4 * time.Second)}
	far := &request{due: own.due, deadline: own.deadline, otherRegion: true}
	const backlog, service, sending = 400 * time.Millisecond, 100 * time.Millisecond, 50 * time.Millisecond
	if lateness(now, own, backlog, service, sending) > 0 || lateness(now, far, backlog, service, sending) <= 0 {
		t.Error("the own region is refused, or the other one is served")
	}
	if lateness(now, far, 50*time.Millisecond, service, sending) > 0 {
		t.Error("another region is refused although the link is nearly idle")
	}
}
