package routing

import "time"

// Options configures a Picker. Zero values select the defaults.
type Options struct {
	// RampTime is the length of the slow start, during which an upstream gets
	// less than its share of calls. A longer time protects upstreams that warm up
	// slowly, but new capacity takes effect later.
	RampTime time.Duration
	// StallTimeout is the minimum time that an upstream must have outstanding
	// calls without any progress before it counts as unresponsive. The limit is
	// longer for upstreams with a high latency, see stallLatencyFactor.
	StallTimeout time.Duration
	// MaxReportAge is the age from which a load report is ignored.
	MaxReportAge time.Duration
	// RemoteCostPerMiB is the worth that a call needs per MiB to go to another
	// region when the sender's region is down. BusyCostFactor multiplies it when
	// the sender's region is only busy.
	RemoteCostPerMiB float64
	BusyCostFactor   float64
	// RegionRoundTrip is the latency that another region adds to a call.
	RegionRoundTrip time.Duration
}

const (
	// defaultRampTime covers the cold start of the test upstream (stand-in), which
	// lasts seconds.
	defaultRampTime = 10 * time.Second
	// defaultStallTimeout allows for nodes that report the progress of calls well
	// within half a second.
	defaultStallTimeout = time.Second
	defaultMaxReportAge = 3 * time.Second
	// With these costs a call of worth 1 may go to another region with up to 1 MiB
	// if its own region is down, and with up to 5 KiB if that is busy, so that an
	// overload does not spread to other regions.
	defaultRemoteCostPerMiB = 1.0
	defaultBusyCostFactor   = 200.0
	// defaultRegionRoundTrip is twice the one-way latency between regions, 30 ms.
	defaultRegionRoundTrip = 60 * time.Millisecond
)

func (o Options) withDefaults() Options {
	setDefault(&o.RampTime, defaultRampTime)
	setDefault(&o.StallTimeout, defaultStallTimeout)
	setDefault(&o.MaxReportAge, defaultMaxReportAge)
	setDefault(&o.RemoteCostPerMiB, defaultRemoteCostPerMiB)
	setDefault(&o.BusyCostFactor, defaultBusyCostFactor)
	setDefault(&o.RegionRoundTrip, defaultRegionRoundTrip)
	return o
}

func setDefault[T time.Duration | float64](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}
