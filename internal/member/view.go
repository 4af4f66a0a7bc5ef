package member

import (
	"slices"
	"sort"
	"time"
)

// View groups the members that are not dead. It is immutable and safe for
// concurrent use; callers must not change the slices it returns.
type View struct {
	generation uint64
	builtAt    time.Time
	all        []Member
	byZone     map[string][]Member
	byRegion   map[string][]Member
	byService  map[string][]Member
	zones      map[string][]string
	regions    []string
}

func newView(records []Member, generation uint64, now time.Time) *View {
	v := &View{
		generation: generation,
		builtAt:    now,
		byZone:     map[string][]Member{},
		byRegion:   map[string][]Member{},
		byService:  map[string][]Member{},
		zones:      map[string][]string{},
	}
	for _, m := range records {
		if m.Reachable() {
			v.all = append(v.all, m)
		}
	}
	sort.Slice(v.all, func(i, j int) bool {
		a, b := v.all[i].RingHash(), v.all[j].RingHash()
		return a < b || a == b && v.all[i].VM < v.all[j].VM
	})
	for _, m := range v.all {
		if len(v.byZone[m.Zone]) == 0 {
			v.zones[m.Region] = append(v.zones[m.Region], m.Zone)
		}
		v.byZone[m.Zone] = append(v.byZone[m.Zone], m)
		v.byRegion[m.Region] = append(v.byRegion[m.Region], m)
		v.byService[m.Service] = append(v.byService[m.Service], m)
	}
	for region := range v.zones {
		slices.Sort(v.zones[region])
		v.regions = append(v.regions, region)
	}
	slices.Sort(v.regions)
	return v
}

// All returns the members in ring order.
func (v *View) All() []Member { return v.all }

// Zone returns the members of an availability zone in ring order.
func (v *View) Zone(zone string) []Member { return v.byZone[zone] }

// Region returns the members of a region in ring order.
func (v *View) Region(region string) []Member { return v.byRegion[region] }

// Service returns the members whose VM carries a service label.
func (v *View) Service(label string) []Member { return v.byService[label] }

// Zones returns the sorted availability zones of a region.
func (v *View) Zones(region string) []string { return v.zones[region] }

// Regions returns the sorted regions.
func (v *View) Regions() []string { return v.regions }

// Successors returns up to n members that follow a VM on its zone's ring.
func (v *View) Successors(zone, vm string, n int) []Member {
	ring := v.byZone[zone]
	at := slices.IndexFunc(ring, func(m Member) bool { return m.VM == vm })
	if at < 0 {
		return nil
	}
	var out []Member
	for i := 1; i < len(ring) && len(out) < n; i++ {
		out = append(out, ring[(at+i)%len(ring)])
	}
	return out
}
