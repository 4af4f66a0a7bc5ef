// Package halflife weighs observations by their age.
package halflife

import (
	"math"
	"time"
)

// Weight returns the weight of an observation of the given age: 1 for a new one, also if
// its age is negative, and half of that after each half-life.
func Weight(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / halfLife.Seconds())
}
