package message

import "github.com/filbertpier/filbertpier/snapshot"

// PullRequest asks for a version as a delta to the one that the sender holds.
type PullRequest struct {
	VM   string      `json:"vm"`
	Want snapshot.ID `json:"want"`
	// Have is the zero ID for an empty node.
	Have snapshot.ID `json:"have"`
}

// Kind implements Message.
func (*PullRequest) Kind() Kind { return KindPullRequest }
