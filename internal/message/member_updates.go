package message

import "github.com/filbertpier/filbertpier/internal/member"

// MemberUpdates carries member records that the receiver merges into its table.
type MemberUpdates struct {
	VM      string          `json:"vm"`
	Members []member.Member `json:"members"`
}

// Kind implements Message.
func (*MemberUpdates) Kind() Kind { return KindMemberUpdates }
