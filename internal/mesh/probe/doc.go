// Package probe finds out when nodes that could not be reached can be reached again.
// It opens connections in the background through a function that its user passes.
package probe
