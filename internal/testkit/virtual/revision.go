package virtual

import "time"

// revision is one published value of a platform key.
type revision struct {
	number      uint64
	data        []byte
	publishedAt time.Time
}
