package member

import "cmp"

// place is a member's position in a view.
type place struct {
	ring uint64
	m    *Member
}

// compare orders by region, zone and ring position.
func (p place) compare(q place) int {
	if c := cmp.Compare(p.m.Region, q.m.Region); c != 0 {
		return c
	}
	if c := cmp.Compare(p.m.Zone, q.m.Zone); c != 0 {
		return c
	}
	return p.compareRing(q)
}

func (p place) compareRing(q place) int {
	if c := cmp.Compare(p.ring, q.ring); c != 0 {
		return c
	}
	return cmp.Compare(p.m.VM, q.m.VM)
}
