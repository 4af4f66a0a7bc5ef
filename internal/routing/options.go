package routing

import "time"

// Options configures a Picker. Zero values select the defaults.
type Options struct {
	// RampTime is the length of the slow start, in which an upstream gets less
	// than its share. Longer protects slow cold starts, but new capacity takes
	// effect later.
	RampTime time.Duration
	// StallTimeout is how long an upstream may have outstanding calls without
	// any progress before it counts as unresponsive.
	StallTimeout time.Duration
	// ReportAge is the age from which a load report is ignored.
	ReportAge time.Duration
	// RemoteCostPerMiB is the worth that a call needs per MiB to go to another
	// region when the own region is down. BusyCostFactor multiplies it when the
	// own region is only busy.
	RemoteCostPerMiB float64
	BusyCostFactor   float64
	// RegionRoundTrip is the latency that another region adds to a call.
	RegionRoundTrip time.Duration
}

// The defaults. With them a call of worth 1 goes to another region with up to
// 1 MiB if its own region is down and with up to 5 KiB if it is busy, so that an
// overload does not move between regions. The one-way latency between regions is
// 30 ms. Nodes report the progress of calls well within half a second. The cold
// start of the test upstream (stand-in) lasts seconds.
const (
	defaultRamp             = 10 * time.Second
	defaultStallTimeout     = time.Second
	defaultReportAge        = 3 * time.Second
	defaultRemoteCostPerMiB = 1.0
	defaultBusyCostFactor   = 200.0
	defaultRegionRoundTrip  = 60 * time.Millisecond
)

func (o Options) withDefaults() Options {
	setDefault(&o.RampTime, defaultRamp)
	setDefault(&o.StallTimeout, defaultStallTimeout)
	setDefault(&o.ReportAge, defaultReportAge)
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
