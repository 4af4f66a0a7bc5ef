package capacity

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
)

// TablePoint is the cost of a member table of one size, measured in this
// process.
type TablePoint struct {
	Members int
	// HeapBytes is the heap of the table and one view.
	HeapBytes float64
	// ViewRebuildTime is the mean time to apply one change and rebuild the view.
	ViewRebuildTime time.Duration
	// JSONBytes is the size of all members in the JSON encoding that a join
	// response uses.
	JSONBytes float64
}

// MeasureTable measures a table of synthetic members in 12 zones and 3 regions.
func MeasureTable(members int) TablePoint {
	now := time.Unix(1_800_000_000, 0)
	before := heapAlloc()
	t := member.NewTable()
	for i := range members {
		t.Apply(now, syntheticMember(i))
	}
	t.View(now)
	p := TablePoint{Members: members, HeapBytes: float64(heapAlloc()) - float64(before)}
	start := time.Now()
	const rebuilds = 5
	for i := range rebuilds {
		m := syntheticMember(0)
		m.Incarnation = uint64(i + 1)
		now = now.Add(time.Second)
		t.Apply(now, m)
		t.View(now)
	}
	p.ViewRebuildTime = time.Since(start) / rebuilds
	if raw, err := json.Marshal(t.All()); err == nil {
		p.JSONBytes = float64(len(raw))
	}
	runtime.KeepAlive(t)
	return p
}

func syntheticMember(i int) member.Member {
	return member.Member{
		VM: fmt.Sprintf("vm-%06d", i), Zone: fmt.Sprintf("zone-%d", i%12), Region: fmt.Sprintf("region-%d", i%3),
		Service: fmt.Sprintf("service-%03d", i%360), PeerAddr: fmt.Sprintf("10.%d.%d.%d:8081", i%12, i/250, i%250),
		CallAddr: fmt.Sprintf("10.%d.%d.%d:8080", i%12, i/250, i%250), Boot: 1_800_000_000_000, ChangedAt: 1_800_000_000_000,
	}
}

func heapAlloc() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
