package peers

import "github.com/filbertpier/filbertpier/internal/replica"

// wirePage is the wire form of a replica.Page.
type wirePage struct {
	Items    []wireItem    `json:"items"`
	Complete bool          `json:"complete,omitempty"`
	Gaps     []replica.Gap `json:"gaps,omitempty"`
	// Revision is the number of the page's revision, and Era its era. Nodes of earlier
	// builds send no era and do not know of any.
	Revision uint64 `json:"at"`
	Era      uint64 `json:"era,omitempty"`
	Fresh    bool   `json:"fresh,omitempty"`
	// Confirmation and AgeMs are Confirmation and, in milliseconds, ConfirmedAge of
	// the page.
	Confirmation uint64 `json:"confirmation,omitempty"`
	AgeMs        int64  `json:"ageMs,omitempty"`
}
