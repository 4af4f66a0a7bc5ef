package dataplane

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/snapshot"
)

// ControlPlane provides the data plane with membership and configuration.
// Implementations are safe for concurrent use.
type ControlPlane interface {
	// Ready reports whether the node may serve calls.
	Ready(now time.Time) bool
	// Store returns the store of the configuration snapshot in force.
	Store() *snapshot.Store
	// Table returns the member table of the fleet.
	Table() *member.Table
	// Self returns this node's own member record.
	Self() member.Member
	// CatchUp requests a configuration version from peers. It does not wait.
	CatchUp(id snapshot.ID)
	// Send sends a message to a node at most once. It does not wait.
	Send(to member.Member, m message.Message)
}
