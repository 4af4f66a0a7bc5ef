// Package routing chooses the upstream of a call from a node's own view of the
// fleet. It imports no transport.
package routing
