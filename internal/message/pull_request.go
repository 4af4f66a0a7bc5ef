package message

import "github.com/filbertpier/filbertpier/snapshot"

// PullRequest requests the version Want or a newer one, as a delta to the version
// Have.
type PullRequest struct {
	VM   string      `json:"vm"`
	Want snapshot.ID `json:"want"`
	// Have is the version that the sender holds, or the zero ID.
	Have snapshot.ID `json:"have"`
}

// Kind implements Message.
func (*PullRequest) Kind() Kind { return KindPullRequest }
