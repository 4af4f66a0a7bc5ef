// Package state holds what the control logic of a node remembers between
// messages, each kind under locks of its own. All types are safe for concurrent
// use. Decisions are made in package control.
package state
