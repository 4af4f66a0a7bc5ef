// Command virtualfleet measures a large fleet in virtual time: a start, new
// versions, a phase without changes and a mass restart. It prints one line for
// each phase.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/filbertpier/filbertpier/internal/testkit"
	"github.com/filbertpier/filbertpier/internal/testkit/virtual"
)

func main() {
	app := kingpin.New("virtualfleet", "Measures a large fleet in virtual time.")
	zones := app.Flag("zones", "Availability zones in each of three regions.").Default("4").Int()
	perZone := app.Flag("per-zone", "Nodes in each zone; each node takes about 2.5 MB at 1,200 nodes.").Default("100").Int()
	seed := app.Flag("seed", "Seed of the run.").Default("1").Uint64()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	o := virtual.DefaultOptions(*perZone, *seed)
	o.ZonesPerRegion = *zones
	run(virtual.NewFleet(o))
}

func run(f *virtual.Fleet) {
	f.Publish(1, testkit.Sections(1, f.Options.Services...))
	f.StartAll()
	runPhase(f, "start", 30*time.Second)
	for version := uint64(2); version <= 3; version++ {
		id := f.Publish(version, testkit.Sections(int(version), f.Options.Services...))
		runPhase(f, "version", 4*time.Second)
		fmt.Printf("  %d nodes behind\n", len(f.NodesBehind(id)))
	}
	runPhase(f, "calm", 10*time.Second)
	for _, n := range f.Nodes {
		f.Kill(n)
	}
	f.StartAll()
	runPhase(f, "mass restart", 30*time.Second)
}

// runPhase advances the virtual clock by d and prints the time, messages,
// platform calls and memory that the fleet used meanwhile.
func runPhase(f *virtual.Fleet, name string, d time.Duration) {
	f.Platform.CallsBySecond = map[int64]int{}
	sentBefore, startedAt := totalMessages(f), time.Now()
	f.Clock.Advance(d)
	ready := 0
	for _, n := range f.Nodes {
		if n.Running() && n.Agent.Ready(f.Clock.Now()) {
			ready++
		}
	}
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	elapsed := time.Since(startedAt)
	fmt.Printf("%-12s %6d nodes, %6d ready, %3.0f s virtual in %6.2f s, %.2f ms per node and second, %.1f messages per node and second, at most %d platform calls in a second, heap %.2f MB per node\n",
		name, len(f.Nodes), ready, d.Seconds(), elapsed.Seconds(),
		elapsed.Seconds()*1000/d.Seconds()/float64(len(f.Nodes)), float64(totalMessages(f)-sentBefore)/d.Seconds()/float64(len(f.Nodes)),
		f.Platform.MaxCallsPerSecond(), float64(mem.HeapAlloc)/1e6/float64(len(f.Nodes)))
}

func totalMessages(f *virtual.Fleet) int {
	total := 0
	for _, n := range f.Network.Messages {
		total += n
	}
	return total
}
