package lead

import (
	"fmt"
	"github.com/filbertpier/filbertpier/internal/ctl/refusal"
	"io"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/snapshot"
)

// Verification describes a version whose envelope has been verified.
type Verification struct {
	ID         snapshot.ID           `json:"id"`
	Sections   []manifest.SectionRef `json:"sections"`
	Signatures []manifest.Signature  `json:"signatures"`
	// SectionsChecked reports whether the section files were checked too.
	SectionsChecked bool           `json:"content"`
	Warnings        []config.Fault `json:"warnings,omitempty"`
}

// Verify checks an envelope as a node does. If sections is not nil, it also
// checks that they are exactly the signed sections and valid. It returns a
// *manifest.SignatureError, a *manifest.MalformedError, a *refusal.Error or a
// *config.InvalidDocumentError.
func Verify(ring manifest.KeyRing, env *manifest.Envelope, sections []config.Section) (*Verification, error) {
	m, err := ring.Verify(env)
	if err != nil {
		return nil, err
	}
	v := &Verification{ID: snapshot.ID{Version: m.Version, Digest: env.Digest()}, Sections: m.Sections, Signatures: env.Signatures}
	if sections == nil {
		return v, nil
	}
	unmatched := manifest.New(0, sections).ByName()
	for _, ref := range m.Sections {
		if unmatched[ref.Name] != ref {
			return nil, &refusal.Error{Reason: refusal.ReasonOtherContent, Detail: fmt.Sprintf("section %q is missing or differs from the signed section", ref.Name), Remedy: "use the files that the leads signed"}
		}
		delete(unmatched, ref.Name)
	}
	for name := range unmatched {
		return nil, &refusal.Error{Reason: refusal.ReasonOtherContent, Detail: fmt.Sprintf("section %q is not part of the version", name), Remedy: "use the files that the leads signed"}
	}
	report := config.Check(sections)
	if err := report.Err(); err != nil {
		return nil, err
	}
	v.SectionsChecked, v.Warnings = true, report.Warnings
	return v, nil
}

// Text implements ctl.Result.
func (v *Verification) Text(w io.Writer) error {
	for _, s := range v.Signatures {
		if _, err := fmt.Fprintf(w, "signed by %s with key %s\n", s.Lead, s.KeyID); err != nil {
			return err
		}
	}
	content := "sections not checked"
	if v.SectionsChecked {
		content = "sections match and are valid"
	}
	_, err := fmt.Fprintf(w, "version %s, %d sections, %s\n", v.ID, len(v.Sections), content)
	return err
}
