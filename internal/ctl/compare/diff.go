package compare

import (
	"fmt"
	"io"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/config/manifest"
)

// Diff compares two documents by section and by effect.
type Diff struct {
	Sections []Change `json:"sections"`
	Effects  []Change `json:"effects"`
	// Bytes is the size of the sections that have to be published.
	Bytes int `json:"bytes"`
	// TextOnly names changed sections without any effect on nodes, such as
	// edited comments, if there are no effects at all.
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
	d.Sections = named(d.Sections, "section", old, next)
	held := map[manifest.Digest]bool{}
	for _, ref := range old {
		held[ref.Digest] = true
	}
	for _, ref := range next {
		if !held[ref.Digest] {
			d.Bytes += ref.Size
		}
	}
}

func (d *Diff) addEffects(old, next *config.Document) {
	d.Effects = named(d.Effects, "rank", index(old.Ranks(), rankName), index(next.Ranks(), rankName))
	d.Effects = named(d.Effects, "service", index(old.Services(), serviceName), index(next.Services(), serviceName))
	d.Effects = named(d.Effects, "route", index(old.Routes(), routeName), index(next.Routes(), routeName))
	d.Effects = named(d.Effects, "retry policy", index(old.RetryPolicies(), retryName), index(next.RetryPolicies(), retryName))
}

func rankName(r *config.Rank) string         { return r.Name }
func serviceName(s *config.Service) string   { return s.Name }
func routeName(r *config.Route) string       { return r.Name }
func retryName(p *config.RetryPolicy) string { return p.Name }

// Text implements Result.
func (d *Diff) Text(w io.Writer) error {
	for _, c := range append(append([]Change{}, d.Sections...), d.Effects...) {
		if _, err := fmt.Fprintln(w, c); err != nil {
			return err
		}
	}
	note := ""
	if d.TextOnly {
		note = "; nothing changes for calls"
	}
	_, err := fmt.Fprintf(w, "%d sections and %d effects differ, %d bytes to publish%s\n", len(d.Sections), len(d.Effects), d.Bytes, note)
	return err
}
