package capacity

// Line is a least-squares fit of a value against the number of nodes.
type Line struct {
	// Intercept is the value at zero nodes and Slope the increase per node.
	Intercept, Slope float64
}

// Fit returns the least-squares line through the points (sizes[i], values[i]).
// If all sizes are equal, it returns a constant line at the mean.
func Fit(sizes, values []float64) Line {
	n := float64(len(sizes))
	var sx, sy, sxx, sxy float64
	for i, x := range sizes {
		sx += x
		sy += values[i]
		sxx += x * x
		sxy += x * values[i]
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return Line{Intercept: sy / n}
	}
	slope := (n*sxy - sx*sy) / d
	return Line{Intercept: (sy - slope*sx) / n, Slope: slope}
}

// Predict returns the fitted value for a fleet of the given size.
func (l Line) Predict(size float64) float64 { return l.Intercept + l.Slope*size }
