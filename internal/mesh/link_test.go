package mesh

import (
	"testing"
	"time"
)

// Guards against running calls whose large response the VM's link cannot send
// in time: this wastes the run and the bandwidth and makes the responses behind
// it late too.
func TestResponseTooLateForTheLinkIsRefused(t *testing.T) {
	now := time.Now()
	q := &request{due: now.Add(time.Second), deadline: now.Add(4 * time.Second)}
	for _, c := range []struct {
		name                           string
		backlog, serviceTime, sendTime time.Duration
		late                           bool
	}{
		{"fits", 500 * time.Millisecond, 400 * time.Millisecond, 100 * time.Millisecond, false},
		{"too late because of the backlog", 900 * time.Millisecond, 400 * time.Millisecond, 200 * time.Millisecond, true},
		{"too late if it takes slightly longer than expected", 600 * time.Millisecond, 400 * time.Millisecond, 200 * time.Millisecond, true},
		{"target latency exceeded, idle link", 50 * time.Millisecond, 2 * time.Second, 100 * time.Millisecond, false},
		{"target latency exceeded, busy link", 600 * time.Millisecond, 2 * time.Second, 100 * time.Millisecond, true},
		{"deadline exceeded", 50 * time.Millisecond, 4 * time.Second, 100 * time.Millisecond, true},
	} {
		if got := lateness(now, q, c.backlog, c.serviceTime, c.sendTime) > 0; got != c.late {
			t.Errorf("%s: refused %v, want %v", c.name, got, c.late)
		}
	}
}

// Guards against calls from other regions that use up the link: calls from the
// node's own region would then be sent to other regions.
func TestOwnRegionGetsLargerLinkShare(t *testing.T) {
	now := time.Now()
	own := &request{due: now.Add(time.Second), deadline: now.Add(4 * time.Second)}
	other := &request{due: own.due, deadline: own.deadline, otherRegion: true}
	const backlog, serviceTime, sendTime = 400 * time.Millisecond, 100 * time.Millisecond, 50 * time.Millisecond
	if lateness(now, own, backlog, serviceTime, sendTime) > 0 || lateness(now, other, backlog, serviceTime, sendTime) <= 0 {
		t.Error("the call from the own region was refused, or the one from the other region was accepted")
	}
	if lateness(now, other, 50*time.Millisecond, serviceTime, sendTime) > 0 {
		t.Error("the call from the other region was refused although the link is nearly idle")
	}
}
