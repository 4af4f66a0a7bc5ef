// Package reader decides which nodes read the platform. The decision needs no
// coordination: each node applies it to its own view of the fleet.
package reader
