package replica

import "github.com/filbertpier/filbertpier/internal/revision"

// MergeResult is what a table did with a page.
type MergeResult struct {
	// Applied is the number of changes that were applied.
	Applied int
	// EndedEra is the table's revision before the page if the page began a new era of
	// the platform, and zero otherwise.
	EndedEra revision.Revision
	// Dropped is the number of keys, among the applied changes, that the new era lacks.
	Dropped int
}
