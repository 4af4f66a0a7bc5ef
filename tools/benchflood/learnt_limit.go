package main

import "time"

// learntLimit is a sender's limit on its calls to one upstream.
type learntLimit struct {
	limit     float64
	decreased time.Time
}

const (
	learntStart = 2.0
	// learntDecrease and learntPause are common settings of limits by
	// additive increase and multiplicative decrease.
	learntDecrease = 0.7
	learntPause    = 100 * time.Millisecond
)

// observe adapts the limit to one ended call and returns the limit to use.
func (l *learntLimit) observe(now time.Time, good bool, most float64) int {
	switch {
	case good:
		l.limit += 1 / l.limit
	case now.Sub(l.decreased) >= learntPause:
		l.limit *= learntDecrease
		l.decreased = now
	}
	l.limit = min(max(l.limit, 1), most)
	return int(l.limit)
}
