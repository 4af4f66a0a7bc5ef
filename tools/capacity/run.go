package capacity

import (
	"fmt"
	"io"

	"github.com/filbertpier/filbertpier/tools/convergence"
)

// designNodes is the fleet size that the design page requires.
const designNodes = 7300

// Run measures real fleets of 12, 24 and 36 nodes, virtual fleets and member
// tables. It prints each point, the fitted lines and their extrapolation to
// designNodes.
func Run(w io.Writer, bin string, subnet int) error {
	var sizes, cpu, resident, bytes, perChange []float64
	for rounds := 1; rounds <= 3; rounds++ {
		r, err := convergence.MeasureCost(bin, subnet, rounds)
		if err != nil {
			return err
		}
		n := float64(r.Idle.Nodes)
		change := 1000 * (r.Busy.CPU.Seconds() - r.Idle.CPU.Seconds()*r.Busy.Over.Seconds()/r.Idle.Over.Seconds()) / n / convergence.Changes
		sizes, cpu = append(sizes, n), append(cpu, r.Idle.CPUPercent())
		resident = append(resident, float64(r.Idle.Resident)/n/1e6)
		bytes, perChange = append(bytes, r.Idle.BytesPerSecond()), append(perChange, change)
		fmt.Fprintf(w, "real nodes=%.0f idle: cpu %.2f%% resident %.1f MB sent %.0f B/s per node; per change: cpu %.1f ms per node\n",
			n, r.Idle.CPUPercent(), resident[len(resident)-1], r.Idle.BytesPerSecond(), change)
	}
	fit(w, "real cpu percent", sizes, cpu)
	fit(w, "real resident MB", sizes, resident)
	fit(w, "real bytes per second", sizes, bytes)
	fit(w, "real cpu ms per change", sizes, perChange)
	runVirtual(w)
	runTables(w)
	return nil
}

func runVirtual(w io.Writer) {
	var sizes, messages, bytes, crossRegion, change, join []float64
	for _, perZone := range []int{10, 20, 40} {
		p := MeasureVirtual(perZone)
		fmt.Fprintf(w, "virtual nodes=%d idle: %.2f messages/s %.0f B/s (%.0f of it table digests) per node, fleet across regions %.0f B/s; change: %.2f messages per node; one restart: %.0f B\n",
			p.Nodes, p.MessagesPerSecond, p.BytesPerSecond, p.DigestBytesPerSecond, p.CrossRegionBytesPerSecond, p.MessagesPerChange, p.JoinBytes)
		sizes, messages = append(sizes, float64(p.Nodes)), append(messages, p.MessagesPerSecond)
		bytes, crossRegion = append(bytes, p.BytesPerSecond), append(crossRegion, p.CrossRegionBytesPerSecond)
		change, join = append(change, p.MessagesPerChange), append(join, p.JoinBytes)
	}
	fit(w, "virtual messages per second", sizes, messages)
	fit(w, "virtual bytes per second", sizes, bytes)
	fit(w, "virtual cross-region bytes per second", sizes, crossRegion)
	fit(w, "virtual messages per change", sizes, change)
	fit(w, "virtual bytes per restart", sizes, join)
}

func runTables(w io.Writer) {
	for _, n := range []int{1800, 3600, designNodes} {
		p := MeasureTable(n)
		fmt.Fprintf(w, "table members=%d: heap %.1f MB, view rebuild %.2f ms, join response %.2f MB\n",
			p.Members, p.HeapBytes/1e6, float64(p.ViewRebuildTime.Microseconds())/1000, p.JSONBytes/1e6)
	}
}

func fit(w io.Writer, name string, sizes, values []float64) {
	l := Fit(sizes, values)
	fmt.Fprintf(w, "slope %-38s base %.4g, per node %.4g, at %d nodes %.4g\n", name, l.Intercept, l.Slope, designNodes, l.Predict(designNodes))
}
