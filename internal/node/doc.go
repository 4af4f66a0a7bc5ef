// Package node assembles a node from its parts. The daemon and tests use the
// same assembly.
package node
