package link

import "time"

// chunk is a piece of a byte stream with the time of its delivery.
type chunk struct {
	data      []byte
	deliverAt time.Time
}
