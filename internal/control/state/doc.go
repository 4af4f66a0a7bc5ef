// Package state holds what the control logic of a node keeps between messages,
// each kind of state under its own locks. All types are safe for concurrent
// use. Decisions are made in package control.
package state
