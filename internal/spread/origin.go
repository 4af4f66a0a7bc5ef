package spread

// Origin tells where a node received an item that it forwards. An item is the
// announcement of a version or a batch of member updates. A smaller origin has
// more targets.
type Origin uint8

// Origins, from the most targets to the fewest.
const (
	// NewItem means that no other node is known to have the item: this node
	// created it, read it from the platform or received it from a joining node.
	NewItem Origin = iota
	// FromOtherRegion means a node in another region.
	FromOtherRegion
	// FromOtherZone means a node in another availability zone of the region.
	FromOtherZone
	// FromSameZone means a node in the same availability zone.
	FromSameZone
)

// OriginOf returns the origin of an item received from a node in the given zone
// and region.
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
