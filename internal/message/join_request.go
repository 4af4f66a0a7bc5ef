package message

import "github.com/filbertpier/filbertpier/internal/member"

// JoinRequest requests a peer's member table and version in a JoinResponse.
type JoinRequest struct {
	From member.Member `json:"from"`
	// JoinAttempt identifies the sender's attempt to join; the response repeats it.
	JoinAttempt uint64 `json:"ask,omitempty"`
}

// Kind implements Message.
func (*JoinRequest) Kind() Kind { return KindJoinRequest }
