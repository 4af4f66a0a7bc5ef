package spread

// Origin tells from how far away a node received what it passes on.
type Origin uint8

// The distances.
const (
	// FirstHolder: the node is the first holder that it knows of.
	FirstHolder Origin = iota
	// FromOtherRegion: from a node in another region.
	FromOtherRegion
	// FromOtherZone: from a node in another availability zone of the region.
	FromOtherZone
	// FromSameZone: from a node in the same availability zone.
	FromSameZone
)

// OriginOf returns the distance from one zone and region to another.
func OriginOf(ownZone, ownRegion, zone, region string) Origin {
	switch {
	case region != ownRegion:
		return FromOtherRegion
	case zone != ownZone:
		return FromOtherZone
	default:
		return FromSameZone
	}
}
