package message

import (
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/snapshot"
)

// UnknownAge means that the sender knows of no successful platform read.
const UnknownAge = -1

// Heartbeat tells a peer that the sender is alive and what it knows.
type Heartbeat struct {
	From    member.Member `json:"from"`
	Current snapshot.ID   `json:"current"`
	// Ready tells whether the sender serves calls.
	Ready bool `json:"ready"`
	// PlatformAgeMs is the age of the last successful platform read that the
	// sender knows of, by any node, in milliseconds, or UnknownAge.
	PlatformAgeMs int64 `json:"platformAgeMs"`
	// ZoneAgesMs holds, for availability zones other than the sender's, how
	// long ago any node that the sender knows of heard from them, in
	// milliseconds.
	ZoneAgesMs map[string]int64 `json:"zoneAgesMs,omitempty"`
	// JoinAttempt identifies the sender's current attempt to join, or is 0; a reply
	// repeats it, so that answers from before a pause do not count.
	JoinAttempt uint64 `json:"ask,omitempty"`
	// Reply marks the answer to a heartbeat; it is not answered again.
	Reply bool `json:"reply,omitempty"`
}

// Kind implements Message.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }
