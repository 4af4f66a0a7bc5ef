package message

import (
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/snapshot"
)

// UnknownAge is the PlatformAgeMs of a sender that knows of no successful
// platform read.
const UnknownAge = -1

// Heartbeat shows a peer that the sender is alive. It carries the sender's
// version, its readiness and its data on platform reads and zones.
type Heartbeat struct {
	From    member.Member `json:"from"`
	Current snapshot.ID   `json:"current"`
	// Ready reports whether the sender serves calls.
	Ready bool `json:"ready"`
	// PlatformAgeMs is the time since the last successful platform read by any
	// node that the sender knows of, in milliseconds, or UnknownAge.
	PlatformAgeMs int64 `json:"platformAgeMs"`
	// ZoneAgesMs holds, by availability zone other than the sender's, the time
	// since any node was last known to receive a message from the zone, in
	// milliseconds.
	ZoneAgesMs map[string]int64 `json:"zoneAgesMs,omitempty"`
	// JoinAttempt identifies the sender's current attempt to join, or is 0. The
	// reply repeats it, so that replies to an attempt from before a pause are
	// ignored.
	JoinAttempt uint64 `json:"ask,omitempty"`
	// Reply marks a reply to a heartbeat, which gets no reply itself.
	Reply bool `json:"reply,omitempty"`
}

// Kind implements Message.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }
