package spread

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertpier/filbertpier/internal/member"
)

// RendezvousOrder returns the members sorted by rendezvous weight for a seed.
// Nodes with equal views compute the same order, and the absence of one member
// does not change the order of the others.
func RendezvousOrder(members []member.Member, seed uint64) []member.Member {
	type weighted struct {
		weight uint64
		m      *member.Member
	}
	candidates := make([]weighted, len(members))
	for i := range members {
		candidates[i] = weighted{RendezvousWeight(members[i].VM, seed), &members[i]}
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		return a.weight < b.weight || a.weight == b.weight && a.m.VM < b.m.VM
	})
	out := make([]member.Member, len(members))
	for i, w := range candidates {
		out[i] = *w.m
	}
	return out
}

// RendezvousWeight returns the rendezvous hash of a VM for a seed; the smallest
// weight comes first.
func RendezvousWeight(vm string, seed uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	var d xxhash.Digest
	d.ResetWithSeed(0)
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(vm)
	return d.Sum64()
}

// RendezvousRank returns the position of a VM in the rendezvous order of
// members, or -1 if it is not among them. It computes the position without
// sorting.
func RendezvousRank(members []member.Member, vm string, seed uint64) int {
	own := RendezvousWeight(vm, seed)
	rank, found := 0, false
	for i := range members {
		if members[i].VM == vm {
			found = true
			continue
		}
		if w := RendezvousWeight(members[i].VM, seed); w < own || w == own && members[i].VM < vm {
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}
