package admin

// ZoneCount counts the members of an availability zone by status name.
type ZoneCount struct {
	Region   string         `json:"region"`
	Zone     string         `json:"zone"`
	ByStatus map[string]int `json:"byStatus"`
}
