package routing

// Reason is why an upstream was chosen.
type Reason string

// The reasons, as they appear in logs.
const (
	// ReasonNearest: the upstream is in the sender's zone and is serving, or is
	// busy and no serving one can take the call.
	ReasonNearest Reason = "nearest"
	// ReasonProbe: the call tests an upstream that was ejected.
	ReasonProbe Reason = "probe"
	// ReasonZoneDown: the sender's zone has no serving or busy upstream that the
	// call has not tried.
	ReasonZoneDown Reason = "zone-down"
	// ReasonZoneBusy: the upstreams of the sender's zone refuse calls.
	ReasonZoneBusy Reason = "zone-busy"
	// ReasonZoneCold: the upstream first chosen in the sender's zone is in slow
	// start and gets less than its share.
	ReasonZoneCold Reason = "zone-cold"
	// ReasonRegionDown: the sender's region has no serving or busy upstream, and
	// the call may go to another region.
	ReasonRegionDown Reason = "region-down"
	// ReasonRegionBusy: the upstreams of the sender's region refuse calls or were
	// tried by this call, and the call may go to another region.
	ReasonRegionBusy Reason = "region-busy"
	// ReasonLastResort: no upstream is serving or busy in the sender's region or
	// allowed in another; one that is failed, unresponsive or suspect is tried.
	ReasonLastResort Reason = "last-resort"
)
