package message

import (
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/snapshot"
)

// JoinResponse carries the sender's member table, version and readiness.
type JoinResponse struct {
	From    member.Member   `json:"from"`
	Current snapshot.ID     `json:"current"`
	Ready   bool            `json:"ready"`
	Members []member.Member `json:"members"`
	// JoinAttempt is copied from the request.
	JoinAttempt uint64 `json:"ask,omitempty"`
}

// Kind implements Message.
func (*JoinResponse) Kind() Kind { return KindJoinResponse }
