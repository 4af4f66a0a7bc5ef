package main

import "fmt"

// IncompleteError reports a measurement that cannot be used.
type IncompleteError struct {
	Measurement string
	Failed      int
}

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("%s: %d calls failed or nothing was measured", e.Measurement, e.Failed)
}
