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

// Owners lists the owner of each section. The leads maintain the list; the
// teams maintain the section texts.
type Owners struct {
	Sections []OwnedSection `json:"sections"`
}

// ParseOwners decodes an owners file; path is used in errors only. Errors are
// of type *config.InvalidDocumentError.
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

// StatedOwners lists the owners that the section texts state.
func StatedOwners(sections []config.Section) *Owners {
	o := &Owners{}
	for _, s := range sections {
		o.Sections = append(o.Sections, OwnedSection{Name: s.Name, Owner: s.Owner})
	}
	return o
}

// Enforce sets the owner of each section from the list, so that the check
// compares it with the owner in the text. It returns a *refusal.Error if a
// section is not listed or a listed section is missing.
func (o *Owners) Enforce(sections []config.Section) error {
	listed := map[string]string{}
	for _, s := range o.Sections {
		listed[s.Name] = s.Owner
	}
	for i := range sections {
		owner, ok := listed[sections[i].Name]
		if !ok {
			return &refusal.Error{Reason: refusal.ReasonForeignSection, Detail: fmt.Sprintf("section %q is not listed in %s", sections[i].Name, OwnersFile), Remedy: "ask a lead to add it to the list"}
		}
		sections[i].Owner = owner
		delete(listed, sections[i].Name)
	}
	for name, owner := range listed {
		return &refusal.Error{Reason: refusal.ReasonSectionMissing, Detail: fmt.Sprintf("section %q of %s is listed in %s but missing", name, owner, OwnersFile), Remedy: "restore it or ask a lead to remove it from the list"}
	}
	return nil
}
