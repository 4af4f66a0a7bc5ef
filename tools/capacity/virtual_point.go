package capacity

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/internal/testkit"
	"github.com/filbertpier/filbertpier/internal/testkit/virtual"
)

const (
	// settleTime lets the member tables converge after the start. Until then
	// their synchronization dominates the traffic.
	settleTime = 60 * time.Second
	// idlePeriod covers one comparison of member tables by each node, which
	// happens every 30 s.
	idlePeriod   = 30 * time.Second
	changePeriod = 4 * time.Second
)

// VirtualPoint is the control traffic of one simulated fleet in virtual time.
// Byte counts are of the JSON encoding, before framing and compression.
type VirtualPoint struct {
	Nodes int
	// MessagesPerSecond and BytesPerSecond are per node in an idle fleet.
	MessagesPerSecond float64
	BytesPerSecond    float64
	// DigestBytesPerSecond is the part of BytesPerSecond that the digests for
	// comparing member tables take up.
	DigestBytesPerSecond float64
	// CrossRegionBytesPerSecond is the traffic between regions of the whole
	// idle fleet.
	CrossRegionBytesPerSecond float64
	// MessagesPerChange is the number of messages per node that distribute one
	// configuration change.
	MessagesPerChange float64
	// JoinBytes is the total join and membership traffic in the fleet after one
	// node restarts.
	JoinBytes float64
}

// MeasureVirtual simulates a fleet of 6 zones in 3 regions and measures its
// traffic when idle, during a configuration change and after a node restart.
func MeasureVirtual(nodesPerZone int) VirtualPoint {
	f := virtual.NewFleet(virtual.DefaultOptions(nodesPerZone, 1))
	f.Publish(1, testkit.Sections(1, f.Options.Services...))
	f.StartAll()
	f.Clock.Advance(settleTime)
	f.Network.CountBytes = true
	n := float64(len(f.Nodes))
	p := VirtualPoint{Nodes: len(f.Nodes)}
	resetCounters(f)
	f.Clock.Advance(idlePeriod)
	p.MessagesPerSecond = float64(sumCounts(f.Network.Messages)) / n / idlePeriod.Seconds()
	p.BytesPerSecond = float64(sumCounts(f.Network.Bytes)) / n / idlePeriod.Seconds()
	p.DigestBytesPerSecond = float64(f.Network.Bytes[message.KindTableDigests]) / n / idlePeriod.Seconds()
	p.CrossRegionBytesPerSecond = float64(f.Network.TotalCrossRegionBytes()) / idlePeriod.Seconds()
	resetCounters(f)
	f.Publish(2, testkit.Sections(2, f.Options.Services...))
	f.Clock.Advance(changePeriod)
	m := f.Network.Messages
	p.MessagesPerChange = float64(m[message.KindAnnounce]+m[message.KindPullRequest]+m[message.KindPullResponse]) / n
	resetCounters(f)
	f.Kill(f.Nodes[1])
	f.Start(f.Nodes[1])
	f.Clock.Advance(changePeriod)
	b := f.Network.Bytes
	p.JoinBytes = float64(b[message.KindJoinRequest] + b[message.KindJoinResponse] + b[message.KindMemberUpdates])
	return p
}

func resetCounters(f *virtual.Fleet) {
	clear(f.Network.Messages)
	clear(f.Network.Bytes)
	clear(f.Network.CrossRegionBytes)
}

func sumCounts(counts map[message.Kind]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}
