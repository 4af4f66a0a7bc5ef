package routing

// Reason tells why an upstream was chosen.
type Reason string

// The reasons.
const (
	// ReasonNearest: the zone serves.
	ReasonNearest Reason = "nearest"
	// ReasonProbe: one call tests an upstream that was taken out.
	ReasonProbe Reason = "probe"
	// ReasonZoneDown: the zone has no upstream in service.
	ReasonZoneDown Reason = "zone-down"
	// ReasonZoneBusy: the upstreams of the zone refuse calls.
	ReasonZoneBusy Reason = "zone-busy"
	// ReasonZoneCold: the upstream of the zone started recently and gets less
	// than its share.
	ReasonZoneCold Reason = "zone-cold"
	// ReasonRegionDown: the region has no upstream in service and the call is
	// worth its bytes between regions.
	ReasonRegionDown Reason = "region-down"
	// ReasonRegionBusy: the upstreams of the region refuse calls and the call
	// is worth its bytes between regions.
	ReasonRegionBusy Reason = "region-busy"
	// ReasonLastResort: no upstream is in service by the node's own view; one
	// that has no call outstanding is tried.
	ReasonLastResort Reason = "last-resort"
)
