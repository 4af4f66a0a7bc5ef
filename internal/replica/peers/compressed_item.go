package peers

import "github.com/filbertpier/filbertpier/internal/revision"

// compressedItem is the compressed form of an item at a revision.
type compressedItem struct {
	revision revision.Revision
	item     wireItem
}
