package admin

import "github.com/filbertpier/filbertpier/internal/member"

// Node provides the state that the API shows. Implementations are safe for
// concurrent use.
type Node interface {
	// Status returns a summary of the node's state.
	Status() Status
	// Readiness reports whether the node should receive calls, with the reasons
	// if it should not.
	Readiness() Readiness
	// Version returns the version in force; ok is false if there is none.
	Version() (v Version, ok bool)
	// Refused returns the refused versions, newest first.
	Refused() []RefusedVersion
	// Limits returns the limits and the current load of the upstream.
	Limits() Limits
	// Members returns all member records in unspecified order.
	Members() []member.Member
	// Neighbours returns the VM ids that this node monitors.
	Neighbours() []string
	// SetLogLevel changes the log level of the process and reports whether the
	// level exists.
	SetLogLevel(level string) bool
}
