// Package member holds a node's own view of the fleet: one record per VM with a
// precedence that lets records arrive in any order, and immutable views of it
// for decisions.
package member
