package routing

// Reason is why an upstream was chosen.
type Reason string

// The reasons, as they appear in logs.
const (
	// ReasonNearest: the own zone has an upstream that may get the call.
	ReasonNearest Reason = "nearest"
	// ReasonProbe: the call tests an upstream that was ejected.
	ReasonProbe Reason = "probe"
	// ReasonZoneDown: the own zone has no upstream in service.
	ReasonZoneDown Reason = "zone-down"
	// ReasonZoneBusy: the upstreams of the own zone refuse calls.
	ReasonZoneBusy Reason = "zone-busy"
	// ReasonZoneCold: the upstream chosen in the own zone is in slow start and
	// gets less than its share.
	ReasonZoneCold Reason = "zone-cold"
	// ReasonRegionDown: the own region has no upstream in service and the call's
	// worth covers the cost of another region.
	ReasonRegionDown Reason = "region-down"
	// ReasonRegionBusy: the upstreams of the own region refuse calls or were
	// tried, and the call's worth covers the cost of another region.
	ReasonRegionBusy Reason = "region-busy"
	// ReasonLastResort: no upstream is in service; one that is failed,
	// unresponsive or suspect is tried.
	ReasonLastResort Reason = "last-resort"
)
