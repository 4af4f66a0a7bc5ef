package member

import "cmp"

// zoneKey orders zones by region, then by name.
type zoneKey struct{ region, zone string }

func (k zoneKey) compare(other zoneKey) int {
	if c := cmp.Compare(k.region, other.region); c != 0 {
		return c
	}
	return cmp.Compare(k.zone, other.zone)
}
