package message

import "github.com/filbertpier/filbertpier/snapshot"

// Announce notifies a peer that the sender holds a version.
type Announce struct {
	VM string      `json:"vm"`
	ID snapshot.ID `json:"id"`
}

// Kind implements Message.
func (*Announce) Kind() Kind { return KindAnnounce }
