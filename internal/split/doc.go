// Package split distributes the calls of a route among services by weight.
package split
