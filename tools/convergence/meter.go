package convergence

import (
	"time"

	"github.com/prometheus/procfs"

	"github.com/filbertpier/filbertpier/tools/fleet"
)

// Meter reads the cost of the nodes of a fleet from their metrics and from the
// operating system.
type Meter struct {
	fleet *fleet.Fleet
}

// over returns the cost of the time in which f runs. All nodes must run.
func (m Meter) over(f func() error) (Cost, error) {
	start := time.Now()
	before, err := m.read()
	if err != nil {
		return Cost{}, err
	}
	if err := f(); err != nil {
		return Cost{}, err
	}
	after, err := m.read()
	if err != nil {
		return Cost{}, err
	}
	after.Over = time.Since(start)
	after.CPU -= before.CPU
	after.SentBytes -= before.SentBytes
	after.CrossRegionBytes -= before.CrossRegionBytes
	after.PlatformBytes -= before.PlatformBytes
	return after, nil
}

func (m Meter) read() (Cost, error) {
	c := Cost{Nodes: len(m.fleet.VMs)}
	for _, v := range m.fleet.VMs {
		metrics, err := fleet.Scrape(v)
		if err != nil {
			return c, &UncountedError{Field: "metrics", Err: err}
		}
		c.SentBytes += metrics.Sum("filbertpier_control_sent_bytes_total", "", "")
		c.CrossRegionBytes += metrics.Sum("filbertpier_control_sent_bytes_total", "cross_region", "true")
		if v.Region != m.fleet.PlatformRegion() {
			c.PlatformBytes += metrics.Sum("filbertpier_platform_value_bytes_total", "", "")
		}
		proc, err := procfs.NewProc(m.fleet.Nodes[v.ID].PID())
		if err != nil {
			return c, &UncountedError{Field: "processor time", Err: err}
		}
		stat, err := proc.Stat()
		if err != nil {
			return c, &UncountedError{Field: "processor time", Err: err}
		}
		c.CPU += time.Duration(stat.CPUTime() * float64(time.Second))
		c.Resident += int64(stat.ResidentMemory())
	}
	return c, nil
}
