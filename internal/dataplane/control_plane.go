package dataplane

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/snapshot"
)

// ControlPlane is what the data plane needs from the control logic. Implementations
// are safe for concurrent use.
type ControlPlane interface {
	// Ready reports whether the node may serve calls.
	Ready(now time.Time) bool
	Store() *snapshot.Store
	Table() *member.Table
	Self() member.Member
	// CatchUp asks peers for a version; it does not wait.
	CatchUp(id snapshot.ID)
	// Send sends a message to a node, at most once; it does not wait.
	Send(to member.Member, m message.Message)
}
