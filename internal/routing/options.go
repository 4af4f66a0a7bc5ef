package routing

import "time"

// Options tunes a Picker. Zero values take the defaults.
type Options struct {
	// RampTime is how long after its start an upstream gets less than its
	// share. Longer protects slow cold starts and delays added capacity.
	RampTime time.Duration
	// Silence is how long an upstream may have calls outstanding without any
	// sign of progress before it is taken out.
	Silence time.Duration
	// ReportAge is the age at which a load report no longer counts.
	ReportAge time.Duration
	// RegionPrice is the worth that a MiB between regions must carry when the
	// own region is down; BusyFactor multiplies it when it is only busy.
	RegionPrice float64
	BusyFactor  float64
	// RegionRoundTrip is the added latency of another region.
	RegionRoundTrip time.Duration
}

// The defaults. With them a call of worth 1 goes to another region with up to
// 1 MiB if its region is down and with up to 5 KiB if it is busy: a flood must
// not move between regions. Regions are 30 ms apart one way; nodes report progress of
// calls well within half a second; the stand-in's cold start lasts seconds.
const (
	defaultRamp            = 10 * time.Second
	defaultSilence         = time.Second
	defaultReportAge       = 3 * time.Second
	defaultRegionPrice     = 1.0
	defaultBusyFactor      = 200.0
	defaultRegionRoundTrip = 60 * time.Millisecond
)

func (o Options) withDefaults() Options {
	setDefault(&o.RampTime, defaultRamp)
	setDefault(&o.Silence, defaultSilence)
	setDefault(&o.ReportAge, defaultReportAge)
	setDefault(&o.RegionPrice, defaultRegionPrice)
	setDefault(&o.BusyFactor, defaultBusyFactor)
	setDefault(&o.RegionRoundTrip, defaultRegionRoundTrip)
	return o
}

func setDefault[T time.Duration | float64](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}
