package feed

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/replica"
)

// Decoder decodes published items. Implementations are safe for concurrent
// use.
type Decoder interface {
	// Decode returns the change that an item describes. If the entry of an
	// upstream cannot be decoded, it returns an error and a change with
	// RemovedID set.
	Decode(now time.Time, item replica.Item) (Change, error)
}
