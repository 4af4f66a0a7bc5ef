package admin

import (
	"cmp"
	"slices"

	"github.com/filbertpier/filbertpier/internal/member"
)

// Peers summarises the fleet as the node knows it.
type Peers struct {
	// Neighbours are the VM ids that the node monitors.
	Neighbours []string `json:"neighbours"`
	// Zones is sorted by region and zone.
	Zones []ZoneCount `json:"zones"`
}

func peersOf(members []member.Member, neighbours []string) Peers {
	counts := map[[2]string]*ZoneCount{}
	for _, m := range members {
		key := [2]string{m.Region, m.Zone}
		if counts[key] == nil {
			counts[key] = &ZoneCount{Region: m.Region, Zone: m.Zone, ByStatus: map[string]int{}}
		}
		counts[key].ByStatus[m.Status.String()]++
	}
	p := Peers{Neighbours: neighbours, Zones: make([]ZoneCount, 0, len(counts))}
	for _, c := range counts {
		p.Zones = append(p.Zones, *c)
	}
	slices.SortFunc(p.Zones, func(a, b ZoneCount) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone))
	})
	return p
}
