package dataplane

import "io"

// writerOnly hides ReadFrom, so that a copy goes through the pooled buffer.
type writerOnly struct{ io.Writer }
