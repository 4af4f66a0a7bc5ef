package member

import "cmp"

// ringPosition is a member's position on its zone's ring. The VM id orders
// members with equal hashes.
type ringPosition struct {
	hash   uint64
	member *Member
}

func (p ringPosition) compare(q ringPosition) int {
	if c := cmp.Compare(p.hash, q.hash); c != 0 {
		return c
	}
	return cmp.Compare(p.member.VM, q.member.VM)
}
