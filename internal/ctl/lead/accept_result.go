package lead

import (
	"fmt"
	"io"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/snapshot"
)

// AcceptResult is the envelope that Accept signed, with the leads whose signatures
// it has and those whose signatures are missing.
type AcceptResult struct {
	ID       snapshot.ID        `json:"id"`
	Signed   []manifest.Lead    `json:"signed"`
	Missing  []manifest.Lead    `json:"missing"`
	Warnings []config.Fault     `json:"warnings"`
	Envelope *manifest.Envelope `json:"-"`
}

// setSignedAndMissing sets Signed and Missing from the envelope's signatures.
func (r *AcceptResult) setSignedAndMissing() {
	signed := map[manifest.Lead]bool{}
	for _, s := range r.Envelope.Signatures {
		signed[s.Lead] = true
	}
	r.Signed, r.Missing = []manifest.Lead{}, []manifest.Lead{}
	for _, lead := range manifest.Leads() {
		if signed[lead] {
			r.Signed = append(r.Signed, lead)
		} else {
			r.Missing = append(r.Missing, lead)
		}
	}
}

// Text implements ctl.Result.
func (r *AcceptResult) Text(w io.Writer) error {
	for _, f := range r.Warnings {
		if _, err := fmt.Fprintln(w, "warning", f); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "version %s\nsigned by %v, missing %v\n", r.ID, r.Signed, r.Missing)
	return err
}
