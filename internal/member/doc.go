// Package member holds a node's own view of the fleet: a table with one record
// per VM and immutable views of it for decisions. Records of a VM have an order
// of precedence, so they may arrive in any order.
package member
