package routing

import (
	"math/rand/v2"
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
)

// Query asks for the upstream of one call.
type Query struct {
	View *member.View
	Self member.Member
	// Service is the service label of the upstreams.
	Service string
	// Exclude names VMs that were already tried for this call.
	Exclude map[string]bool
	// Order is the order of the call's rank; refusals count by rank.
	Order int
	// Worth is the worth of the call's rank.
	Worth float64
	// Target is the latency that the call should meet; zero if unknown.
	Target time.Duration
	// Bytes is the expected size of request and response together; zero if
	// unknown.
	Bytes int64
	// Deadline is when the caller no longer needs an answer; zero means never.
	Deadline time.Time
	// Rand is used by this call only.
	Rand *rand.Rand
}
