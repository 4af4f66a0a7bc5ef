package member

import "cmp"

// place is a member's position on its zone's ring.
type place struct {
	ring uint64
	m    *Member
}

func (p place) compare(q place) int {
	if c := cmp.Compare(p.ring, q.ring); c != 0 {
		return c
	}
	return cmp.Compare(p.m.VM, q.m.VM)
}
