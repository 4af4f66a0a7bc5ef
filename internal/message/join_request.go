package message

import "github.com/filbertpier/filbertpier/internal/member"

// JoinRequest asks a peer for its member table.
type JoinRequest struct {
	From member.Member `json:"from"`
}

// Kind implements Message.
func (*JoinRequest) Kind() Kind { return KindJoinRequest }
