package admin

import (
	"errors"
	"sort"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/snapshot"
)

// RefusedVersion is a version that the node refused because of its content.
type RefusedVersion struct {
	ID snapshot.ID `json:"id"`
	// Faults lists the faults of the document; it is empty if the version was
	// refused for another reason.
	Faults []config.Fault `json:"faults"`
	// Omitted is the number of further faults that are not listed.
	Omitted int    `json:"omittedFaults"`
	Reason  string `json:"reason"`
}

// RefusedVersionsOf converts refused versions and their errors to the form
// that the API shows, newest first.
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
