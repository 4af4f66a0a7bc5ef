package spread

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertpier/filbertpier/internal/member"
)

// Order returns the members in rendezvous order for a seed: nodes with equal
// views agree on it, and one member's absence moves no other.
func Order(members []member.Member, seed uint64) []member.Member {
	type ranked struct {
		weight uint64
		m      *member.Member
	}
	weights := make([]ranked, len(members))
	for i := range members {
		weights[i] = ranked{Weight(members[i].VM, seed), &members[i]}
	}
	sort.Slice(weights, func(i, j int) bool {
		a, b := weights[i], weights[j]
		return a.weight < b.weight || a.weight == b.weight && a.m.VM < b.m.VM
	})
	out := make([]member.Member, len(members))
	for i, w := range weights {
		out[i] = *w.m
	}
	return out
}

// Weight is the rendezvous weight of a VM for a seed; the smallest is first.
func Weight(vm string, seed uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	var d xxhash.Digest
	d.ResetWithSeed(0)
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(vm)
	return d.Sum64()
}

// Rank returns the position of a VM in the rendezvous order of members, or -1
// if it is not among them. It does not sort.
func Rank(members []member.Member, vm string, seed uint64) int {
	own := Weight(vm, seed)
	rank, found := 0, false
	for i := range members {
		if members[i].VM == vm {
			found = true
			continue
		}
		if w := Weight(members[i].VM, seed); w < own || w == own && members[i].VM < vm {
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}
