package admin

import "github.com/filbertpier/filbertpier/internal/member"

// Node is what the API shows. Implementations are safe for concurrent use.
type Node interface {
	Status() Status
	Members() []member.Member
	// SetLogLevel changes the log level of the process and reports whether the
	// level exists.
	SetLogLevel(level string) bool
}
