package feed

import "github.com/filbertpier/filbertpier/internal/revision"

// decodedItem is a change and the revision of the item that describes it.
type decodedItem struct {
	change   Change
	revision revision.Revision
}
