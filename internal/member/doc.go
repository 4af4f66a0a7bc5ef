// Package member holds a node's own view of the fleet: a table with one record
// per VM and immutable views of it for decisions. A precedence between records
// lets them arrive in any order.
package member
