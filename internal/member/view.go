package member

import (
	"maps"
	"slices"
	"sort"
	"sync"
	"time"
)

// View is an immutable view of a Table, indexed by zone, region and service.
// Dead members are only in Dead and ZoneAvailability. It is safe for concurrent
// use; callers must not change the slices it returns.
type View struct {
	generation uint64
	builtAt    time.Time
	// all is sorted by region, zone and ring position, so that the members of
	// each region and each zone are a subslice and need no copy.
	all      []Member
	dead     []Member
	byZone   map[string][]Member
	byRegion map[string][]Member
	zones    map[string][]string
	regions  []string
	// byService is built on first use: only nodes that route calls need it.
	byService    func() map[string][]Member
	ranks        rankCache
	availability map[string]zoneAvailability
}

func newView(records []Member, generation uint64, now time.Time) *View {
	v := &View{
		generation:   generation,
		builtAt:      now,
		byZone:       map[string][]Member{},
		byRegion:     map[string][]Member{},
		zones:        map[string][]string{},
		availability: map[string]zoneAvailability{},
	}
	v.all = sortByRing(records, Member.NotDead)
	v.dead = sortByRing(records, func(m Member) bool { return !m.NotDead() })
	eachRun(v.all, func(m *Member) string { return m.Region }, func(region string, run []Member) {
		v.byRegion[region] = run
		v.regions = append(v.regions, region)
	})
	eachRun(v.all, func(m *Member) string { return m.Zone }, func(zone string, run []Member) {
		v.byZone[zone] = run
		v.zones[run[0].Region] = append(v.zones[run[0].Region], zone)
	})
	v.countByZone()
	v.byService = sync.OnceValue(v.groupByService)
	return v
}

// sortByRing returns the selected records in the order of View.All. It groups
// them by zone first and sorts pointers: comparing names and copying records
// at each comparison takes five times as long at 7,300 members.
func sortByRing(records []Member, selected func(Member) bool) []Member {
	byZone := map[zoneKey][]ringPosition{}
	n := 0
	for i := range records {
		if m := &records[i]; selected(*m) {
			k := zoneKey{region: m.Region, zone: m.Zone}
			byZone[k] = append(byZone[k], ringPosition{hash: m.RingHash(), member: m})
			n++
		}
	}
	out := make([]Member, 0, n)
	for _, k := range slices.SortedFunc(maps.Keys(byZone), zoneKey.compare) {
		positions := byZone[k]
		slices.SortFunc(positions, ringPosition.compare)
		for _, p := range positions {
			out = append(out, *p.member)
		}
	}
	return out
}

// eachRun calls f for each run of members with equal keys.
func eachRun(members []Member, key func(*Member) string, f func(string, []Member)) {
	for start := 0; start < len(members); {
		k, end := key(&members[start]), start+1
		for end < len(members) && key(&members[end]) == k {
			end++
		}
		f(k, members[start:end:end])
		start = end
	}
}

func (v *View) groupByService() map[string][]Member {
	out := map[string][]Member{}
	for _, m := range v.all {
		out[m.Service] = append(out[m.Service], m)
	}
	return out
}

// All returns the members by region, zone and ring position.
func (v *View) All() []Member { return v.all }

// Dead returns the dead members whose records are still kept, in the same
// order.
func (v *View) Dead() []Member { return v.dead }

// Zone returns the members of an availability zone in ring order.
func (v *View) Zone(zone string) []Member { return v.byZone[zone] }

// Region returns the members of a region by zone and ring position.
func (v *View) Region(region string) []Member { return v.byRegion[region] }

// Service returns the members whose VM carries a service label.
func (v *View) Service(label string) []Member { return v.byService()[label] }

// Zones returns the names of the availability zones of a region in sorted
// order.
func (v *View) Zones(region string) []string { return v.zones[region] }

// Regions returns the names of the regions in sorted order.
func (v *View) Regions() []string { return v.regions }

// Rank returns the result of compute, which must depend only on the view and
// the key, and calls it once per key while the result is cached. Computing a
// rank in a region of 2,400 members hashes each of them, and a node asks for
// the same ranks each second.
func (v *View) Rank(key RankKey, compute func() int) int { return v.ranks.get(key, compute) }

// Successors returns up to n members that follow a member on its zone's ring.
func (v *View) Successors(of Member, n int) []Member {
	ring := v.byZone[of.Zone]
	position := ringPosition{hash: of.RingHash(), member: &of}
	index := sort.Search(len(ring), func(i int) bool {
		return ringPosition{hash: ring[i].RingHash(), member: &ring[i]}.compare(position) >= 0
	})
	if index == len(ring) || ring[index].VM != of.VM {
		return nil
	}
	out := make([]Member, 0, n)
	for i := 1; i < len(ring) && len(out) < n; i++ {
		out = append(out, ring[(index+i)%len(ring)])
	}
	return out
}

// ZoneAvailability returns how many members of a zone are dead or suspect, and
// how many records of the zone are kept, dead members included.
func (v *View) ZoneAvailability(zone string) (unavailable, total int) {
	a := v.availability[zone]
	return a.unavailable, a.total
}

func (v *View) countByZone() {
	for _, members := range [][]Member{v.all, v.dead} {
		for i := range members {
			a := v.availability[members[i].Zone]
			a.total++
			if s := members[i].Status; s == Suspect || s == Dead {
				a.unavailable++
			}
			v.availability[members[i].Zone] = a
		}
	}
}
