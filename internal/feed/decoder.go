package feed

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/replica"
)

// Decoder decodes published items. Implementations are safe for concurrent
// use. With an error the change may still tell which upstream has no usable
// entry.
type Decoder interface {
	Decode(now time.Time, item replica.Item) (Change, error)
}
