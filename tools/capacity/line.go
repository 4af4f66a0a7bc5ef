package capacity

// Line is a least-squares fit.
type Line struct {
	// Base is the value at size zero and Slope the growth per node.
	Base, Slope float64
}

// Fit fits a line to values at sizes.
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
		return Line{Base: sy / n}
	}
	slope := (n*sxy - sx*sy) / d
	return Line{Base: (sy - slope*sx) / n, Slope: slope}
}

// At returns the value at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }
