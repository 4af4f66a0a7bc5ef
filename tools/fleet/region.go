package fleet

// Region is a region with its availability zones.
type Region struct {
	Name  string
	Zones []string
}
