package config

import "slices"

// RegionSet names regions. The empty set stands for all regions.
type RegionSet []string

// Allows reports whether calls may run in a region. An unknown region, whose name is
// empty, is allowed only if all are.
func (s RegionSet) Allows(region string) bool {
	return len(s) == 0 || slices.Contains(s, region)
}
