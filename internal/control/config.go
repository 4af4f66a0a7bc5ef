package control

import (
	"time"

	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/internal/member"
)

// Config configures an Agent. All fields are read-only after New.
type Config struct {
	// Self is the node's own record; Boot must be greater than that of any
	// earlier process on the VM.
	Self member.Member
	// Keys holds the public keys that verify the signatures of a manifest.
	Keys manifest.KeyRing
	// Seeds are the peer addresses that the node asks for members while it
	// knows no peer.
	Seeds []string
	// PlatformRegion is the region that hosts the platform. The readers there
	// keep a watch of the manifest open and read the VM list often; readers in
	// other regions rely on peers, because cross-region traffic is charged by
	// volume.
	PlatformRegion string
	// HeartbeatInterval is the time between heartbeats to each monitored peer.
	// A shorter interval detects dead nodes sooner and costs more CPU and bytes
	// on every node. Default 1 s.
	HeartbeatInterval time.Duration
	// SuspicionTimeout is how long a suspect member may refute before it counts
	// as dead. A shorter timeout moves calls away sooner and declares more
	// paused nodes dead. Default 2 s.
	SuspicionTimeout time.Duration
	// JoinTimeout is how long a joining node waits for replies from enough
	// peers, one of which already serves calls, and for a whole member table.
	// After it, the newest version that the node knows of suffices, even if
	// only the platform reported it. A longer timeout protects better against a
	// stale platform; a shorter one starts a new fleet sooner. Default 5 s.
	JoinTimeout time.Duration
	// Invariants records violated invariants; nil discards them.
	Invariants Invariants
	// Seed seeds the agent's random numbers.
	Seed uint64
}

// withDefaults returns c with defaults for the zero fields.
func (c Config) withDefaults() Config {
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = time.Second
	}
	if c.SuspicionTimeout == 0 {
		c.SuspicionTimeout = 2 * time.Second
	}
	if c.JoinTimeout == 0 {
		c.JoinTimeout = 5 * time.Second
	}
	if c.Invariants == nil {
		c.Invariants = nopInvariants{}
	}
	return c
}
