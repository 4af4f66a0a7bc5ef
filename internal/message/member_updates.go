package message

import "github.com/filbertpier/filbertpier/internal/member"

// MemberUpdates carries member records.
type MemberUpdates struct {
	VM      string          `json:"vm"`
	Members []member.Member `json:"members"`
}

// Kind implements Message.
func (*MemberUpdates) Kind() Kind { return KindMemberUpdates }
