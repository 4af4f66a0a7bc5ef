package compare

import (
	"fmt"
	"github.com/filbertpier/filbertpier/internal/ctl/refusal"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/config/manifest"
)

// CheckOwnership returns a *refusal.Error if a section that differs between two
// documents belongs, in either of them, to a team other than the given one.
func CheckOwnership(team string, before, after []config.Section) error {
	old, next := manifest.New(0, before).ByName(), manifest.New(0, after).ByName()
	for _, c := range appendChanges(nil, "section", old, next) {
		for _, owner := range []string{old[c.Name].Owner, next[c.Name].Owner} {
			if owner != "" && owner != team {
				return &refusal.Error{
					Reason: refusal.ReasonForeignSection,
					Detail: fmt.Sprintf("team %s %s section %q, which belongs to %s", team, c.Action, c.Name, owner),
					Remedy: "ask its owner to make the change",
				}
			}
		}
	}
	return nil
}
