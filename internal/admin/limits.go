package admin

import "github.com/filbertpier/filbertpier/config"

// Limits holds the current load of the upstream on the VM and the limits that
// the configuration sets for it.
type Limits struct {
	VM       string          `json:"vm"`
	Services []ServiceLimits `json:"services"`
	Running  int             `json:"running"`
	Waiting  int             `json:"waiting"`
	Ranks    []RankFloor     `json:"ranks"`
}

// LimitsOf returns the limits that a document sets for the services whose
// selector is label. It leaves VM, Running and Waiting empty. doc may be nil.
func LimitsOf(doc *config.Document, label string) Limits {
	l := Limits{Services: []ServiceLimits{}, Ranks: []RankFloor{}}
	if doc == nil {
		return l
	}
	for _, s := range doc.Services() {
		if s.Selector == label {
			l.Services = append(l.Services, ServiceLimits{Service: s.Name, Slots: s.Slots, Connections: s.Connections})
		}
	}
	for _, r := range doc.Ranks() {
		l.Ranks = append(l.Ranks, RankFloor{Rank: r.Name, Order: r.Order, Floor: r.Floor})
	}
	return l
}
