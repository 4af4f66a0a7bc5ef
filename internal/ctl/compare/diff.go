package compare

import (
	"fmt"
	"io"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/config/manifest"
)

// Diff holds the differences between two documents. It implements ctl.Result.
type Diff struct {
	// Sections are the changed sections.
	Sections []Change `json:"sections"`
	// Effects are the changed ranks, services, routes and retry policies.
	Effects []Change `json:"effects"`
	// Bytes is the total size of the sections to publish: those whose digest the
	// old document lacks.
	Bytes int `json:"bytes"`
	// TextOnly is set if sections changed but Effects is empty, for example
	// because only comments were edited.
	TextOnly bool `json:"textOnly"`
}

// Documents returns the differences between two documents. Both must be valid;
// otherwise it returns a *config.InvalidDocumentError.
func Documents(before, after []config.Section) (*Diff, error) {
	old, err := config.Compile(before)
	if err != nil {
		return nil, err
	}
	next, err := config.Compile(after)
	if err != nil {
		return nil, err
	}
	d := &Diff{Sections: []Change{}, Effects: []Change{}}
	d.addSections(before, after)
	d.addEffects(old, next)
	d.TextOnly = len(d.Sections) > 0 && len(d.Effects) == 0
	return d, nil
}

func (d *Diff) addSections(before, after []config.Section) {
	old, next := manifest.New(0, before).ByName(), manifest.New(0, after).ByName()
	d.Sections = appendChanges(d.Sections, "section", old, next)
	oldDigests := map[manifest.Digest]bool{}
	for _, ref := range old {
		oldDigests[ref.Digest] = true
	}
	for _, ref := range next {
		if !oldDigests[ref.Digest] {
			d.Bytes += ref.Size
		}
	}
}

func (d *Diff) addEffects(old, next *config.Document) {
	d.Effects = appendChanges(d.Effects, "rank", indexByName(old.Ranks(), rankName), indexByName(next.Ranks(), rankName))
	d.Effects = appendChanges(d.Effects, "service", indexByName(old.Services(), serviceName), indexByName(next.Services(), serviceName))
	d.Effects = appendChanges(d.Effects, "route", indexByName(old.Routes(), routeName), indexByName(next.Routes(), routeName))
	d.Effects = appendChanges(d.Effects, "retry policy", indexByName(old.RetryPolicies(), retryPolicyName), indexByName(next.RetryPolicies(), retryPolicyName))
}

func rankName(r *config.Rank) string               { return r.Name }
func serviceName(s *config.Service) string         { return s.Name }
func routeName(r *config.Route) string             { return r.Name }
func retryPolicyName(p *config.RetryPolicy) string { return p.Name }

// Text writes one line per change and a summary.
func (d *Diff) Text(w io.Writer) error {
	for _, c := range append(append([]Change{}, d.Sections...), d.Effects...) {
		if _, err := fmt.Fprintln(w, c); err != nil {
			return err
		}
	}
	note := ""
	if d.TextOnly {
		note = "; calls are handled as before"
	}
	_, err := fmt.Fprintf(w, "%d sections and %d effects differ, %d bytes to publish%s\n", len(d.Sections), len(d.Effects), d.Bytes, note)
	return err
}
