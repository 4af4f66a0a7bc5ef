package peers

import "github.com/filbertpier/filbertpier/internal/replica"

// wirePage is the wire form of a replica.Page.
type wirePage struct {
	Items    []wireItem    `json:"items"`
	Complete bool          `json:"complete,omitempty"`
	Gaps     []replica.Gap `json:"gaps,omitempty"`
	Revision uint64        `json:"at"`
	Fresh    bool          `json:"fresh,omitempty"`
}
