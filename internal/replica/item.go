package replica

import "github.com/filbertpier/filbertpier/internal/revision"

// Item is the state of one platform key at a revision.
type Item struct {
	Key string `json:"key"`
	// Value is the published value; empty if the key was deleted.
	Value []byte `json:"value,omitempty"`
	// Revision is the platform's revision of the last change.
	Revision revision.Revision `json:"revision"`
	Deleted  bool              `json:"deleted,omitempty"`
}
