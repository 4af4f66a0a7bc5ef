package spread

// Origin tells from how far away a node received what it passes on.
type Origin uint8

// The distances.
const (
	// FromPlatform: the node is the first holder that it knows of.
	FromPlatform Origin = iota
	// FromRegion: from a node in another region.
	FromRegion
	// FromZone: from a node in another availability zone of the region.
	FromZone
	// FromPeer: from a node in the same availability zone.
	FromPeer
)

// OriginOf returns the distance from one zone and region to another.
func OriginOf(ownZone, ownRegion, zone, region string) Origin {
	switch {
	case region != ownRegion:
		return FromRegion
	case zone != ownZone:
		return FromZone
	default:
		return FromPeer
	}
}
