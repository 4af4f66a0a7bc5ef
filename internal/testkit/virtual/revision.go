package virtual

import "time"

// revision is a published value.
type revision struct {
	number uint64
	data   []byte
	at     time.Time
}
