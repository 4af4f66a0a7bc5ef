// Package convergence measures how fast versions reach the nodes of a fleet and
// what control traffic costs, on real processes and in virtual time.
package convergence
