package admin

import "github.com/filbertpier/filbertpier/internal/member"

// Node is what the API shows. Implementations are safe for concurrent use.
type Node interface {
	Status() Status
	// Readiness tells whether the node should receive calls, and why not.
	Readiness() Readiness
	// Version returns the version in force; ok is false if there is none.
	Version() (v Version, ok bool)
	// Refused returns the refused versions, newest first.
	Refused() []RefusedVersion
	Limits() Limits
	// Members returns all records in no order.
	Members() []member.Member
	// Neighbours returns the VM ids that this node watches.
	Neighbours() []string
	// SetLogLevel changes the log level of the process and reports whether the
	// level exists.
	SetLogLevel(level string) bool
}
