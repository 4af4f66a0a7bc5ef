package admin

import (
	"errors"
	"sort"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/snapshot"
)

// RefusedVersion is a version that the node refused for its content.
type RefusedVersion struct {
	ID snapshot.ID `json:"id"`
	// Faults is empty if the reason is not a fault of the document.
	Faults []config.Fault `json:"faults"`
	// Omitted counts the faults that were not kept.
	Omitted int    `json:"omittedFaults"`
	Reason  string `json:"reason"`
}

// RefusedVersionsOf returns what the API shows of refused versions, newest first.
func RefusedVersionsOf(refused map[snapshot.ID]error) []RefusedVersion {
	out := make([]RefusedVersion, 0, len(refused))
	for id, err := range refused {
		r := RefusedVersion{ID: id, Faults: []config.Fault{}, Reason: err.Error()}
		var invalid *config.InvalidDocumentError
		if errors.As(err, &invalid) {
			r.Faults, r.Omitted = invalid.Faults, invalid.Omitted
		}
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[j].ID.Less(out[i].ID) })
	return out
}
