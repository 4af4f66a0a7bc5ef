package link

import "time"

// chunk is a piece of a stream with the time at which it arrives.
type chunk struct {
	data []byte
	due  time.Time
}
