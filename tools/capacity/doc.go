// Package capacity measures how the cost of the control plane grows with the
// size of a fleet and extrapolates it to the design size.
package capacity
