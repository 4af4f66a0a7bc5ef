package compare

import (
	"fmt"
	"github.com/filbertpier/filbertpier/internal/ctl/refusal"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/config/manifest"
)

// CheckOwnership compares two documents and returns a *refusal.Error if a section
// that differs belongs to another team than the given one, before or after.
func CheckOwnership(team string, before, after []config.Section) error {
	old, next := manifest.New(0, before).ByName(), manifest.New(0, after).ByName()
	for _, c := range named(nil, "section", old, next) {
		for _, owner := range []string{old[c.Name].Owner, next[c.Name].Owner} {
			if owner != "" && owner != team {
				return &refusal.Error{
					Reason: refusal.ReasonForeignSection,
					Detail: fmt.Sprintf("%s %s section %q of %s", team, c.Action, c.Name, owner),
					Remedy: "leave it to its owner",
				}
			}
		}
	}
	return nil
}
