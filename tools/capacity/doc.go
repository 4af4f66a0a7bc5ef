// Package capacity measures how the cost of control work grows with the size of
// a fleet, and extrapolates it.
package capacity
