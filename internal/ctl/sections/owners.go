package sections

import (
	"fmt"
	"github.com/filbertpier/filbertpier/internal/ctl/refusal"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/strictjson"
)

// OwnersFile is the name of the file in a folder of sections that lists the
// sections and their owners.
const OwnersFile = "owners.jsonc"

// Owners lists who owns each section. The list belongs to the leads; the
// section texts belong to the teams.
type Owners struct {
	Sections []OwnedSection `json:"sections"`
}

// ParseOwners decodes an owners file. It returns a *config.InvalidDocumentError.
func ParseOwners(path string, raw []byte) (*Owners, error) {
	var o Owners
	_, problems := strictjson.Decode(raw, &o)
	var faults []config.Fault
	for _, p := range problems {
		faults = append(faults, config.Fault{Section: path, Line: p.Line, Rule: string(p.Rule), Detail: p.Detail})
	}
	if len(faults) > 0 {
		return nil, &config.InvalidDocumentError{Faults: faults}
	}
	return &o, nil
}

// StatedOwners returns the owners that sections state themselves.
func StatedOwners(sections []config.Section) *Owners {
	o := &Owners{}
	for _, s := range sections {
		o.Sections = append(o.Sections, OwnedSection{Name: s.Name, Owner: s.Owner})
	}
	return o
}

// Enforce sets the owner of each section from the list, so that the check
// compares it with the text. It returns a *refusal.Error for sections that are
// not listed or are listed and missing.
func (o *Owners) Enforce(sections []config.Section) error {
	listed := map[string]string{}
	for _, s := range o.Sections {
		listed[s.Name] = s.Owner
	}
	for i := range sections {
		owner, ok := listed[sections[i].Name]
		if !ok {
			return &refusal.Error{Reason: refusal.ReasonForeignSection, Detail: fmt.Sprintf("section %q has no owner in %s", sections[i].Name, OwnersFile), Remedy: "let a lead list it"}
		}
		sections[i].Owner = owner
		delete(listed, sections[i].Name)
	}
	for name, owner := range listed {
		return &refusal.Error{Reason: refusal.ReasonSectionMissing, Detail: fmt.Sprintf("section %q of %s is listed in %s and missing", name, owner, OwnersFile), Remedy: "restore it or let a lead remove it from the list"}
	}
	return nil
}
