package message

import (
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/snapshot"
)

// UnknownAge is the PlatformAgeMs of a sender that knows of no successful
// platform read.
const UnknownAge = -1

// Heartbeat shows a peer that the sender is alive. It carries the sender's
// version and readiness, and the ages of the last known platform read and of the
// last known contact with each other zone.
type Heartbeat struct {
	From    member.Member `json:"from"`
	Current snapshot.ID   `json:"current"`
	// Ready reports whether the sender serves calls.
	Ready bool `json:"ready"`
	// PlatformAgeMs is the time since the last successful platform read by any
	// node that the sender knows of, in milliseconds, or UnknownAge.
	PlatformAgeMs int64 `json:"platformAgeMs"`
	// ZoneAgesMs holds, for availability zones other than the sender's, the time
	// since the last contact that the sender knows of, in milliseconds. A contact
	// is a heartbeat that any node received from the zone.
	ZoneAgesMs map[string]int64 `json:"zoneAgesMs,omitempty"`
	// JoinAttempt identifies the sender's current attempt to join; 0 if there is
	// none. The reply repeats it, so that a node that was paused ignores replies
	// to an earlier attempt.
	JoinAttempt uint64 `json:"ask,omitempty"`
	// Reply marks a reply to a heartbeat. It gets no reply itself.
	Reply bool `json:"reply,omitempty"`
}

// Kind implements Message.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }
