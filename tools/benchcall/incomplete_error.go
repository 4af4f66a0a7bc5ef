package main

import "fmt"

// IncompleteError reports a measurement that is invalid because calls failed or
// no latency was recorded.
type IncompleteError struct {
	Measurement string
	Failed      int
}

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("%s: measurement invalid: %d calls failed, or no latency was recorded", e.Measurement, e.Failed)
}
