package capacity

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/internal/testkit"
	"github.com/filbertpier/filbertpier/internal/testkit/virtual"
)

const (
	// settle lets the member tables agree after the start: until then their
	// exchange dominates the traffic.
	settle = 60 * time.Second
	// idleTime covers one comparison of member tables, which each node makes
	// every 30 s.
	idleTime   = 30 * time.Second
	changeTime = 4 * time.Second
)

// VirtualPoint is the traffic of one fleet in virtual time. Bytes are those of
// the JSON text, before framing and compression.
type VirtualPoint struct {
	Nodes int
	// Messages and Bytes are per node and second in an idle fleet.
	Messages float64
	Bytes    float64
	// DigestBytes is the part of Bytes for comparing member tables.
	DigestBytes float64
	// CrossRegion are the bytes per second of the whole idle fleet between
	// regions.
	CrossRegion float64
	// ChangeMessages are the messages that one change adds per node.
	ChangeMessages float64
	// JoinBytes are the bytes that one restarted node causes in the fleet.
	JoinBytes float64
}

// MeasureVirtual measures a fleet of 6 zones in 3 regions.
func MeasureVirtual(nodesPerZone int) VirtualPoint {
	f := virtual.NewFleet(virtual.DefaultOptions(nodesPerZone, 1))
	f.Publish(1, testkit.Sections(1, f.Options.Services...))
	f.StartAll()
	f.Clock.Advance(settle)
	f.Network.CountBytes = true
	n := float64(len(f.Nodes))
	p := VirtualPoint{Nodes: len(f.Nodes)}
	reset(f)
	f.Clock.Advance(idleTime)
	p.Messages = float64(total(f.Network.Messages)) / n / idleTime.Seconds()
	p.Bytes = float64(total(f.Network.Bytes)) / n / idleTime.Seconds()
	p.DigestBytes = float64(f.Network.Bytes[message.KindTableDigests]) / n / idleTime.Seconds()
	p.CrossRegion = float64(f.Network.TotalCrossRegionBytes()) / idleTime.Seconds()
	reset(f)
	f.Publish(2, testkit.Sections(2, f.Options.Services...))
	f.Clock.Advance(changeTime)
	m := f.Network.Messages
	p.ChangeMessages = float64(m[message.KindAnnounce]+m[message.KindPullRequest]+m[message.KindPullResponse]) / n
	reset(f)
	f.Kill(f.Nodes[1])
	f.Start(f.Nodes[1])
	f.Clock.Advance(changeTime)
	b := f.Network.Bytes
	p.JoinBytes = float64(b[message.KindJoinRequest] + b[message.KindJoinResponse] + b[message.KindMemberUpdates])
	return p
}

func reset(f *virtual.Fleet) {
	clear(f.Network.Messages)
	clear(f.Network.Bytes)
	clear(f.Network.CrossRegionBytes)
}

func total(counts map[message.Kind]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}
