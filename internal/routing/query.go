package routing

import (
	"math/rand/v2"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/member"
)

// Query describes a call that needs an upstream.
type Query struct {
	View *member.View
	// Self is the member entry of the sending node.
	Self member.Member
	// Service is the service label of the upstreams.
	Service string
	// AllowedRegions holds the regions in which the call may run.
	AllowedRegions config.RegionSet
	// Exclude holds the VMs that the call has already tried.
	Exclude map[string]bool
	// Order is the position of the call's rank, 0 for the most urgent. Refusals
	// are counted by rank.
	Order int
	// Worth is the configured worth of the call's rank.
	Worth float64
	// Target is the target latency of the call; zero if unknown.
	Target time.Duration
	// Bytes is the expected size of request and response together; zero if
	// unknown.
	Bytes int64
	// Deadline is the time after which the caller needs no response; zero if
	// there is no deadline.
	Deadline time.Time
	// Rand must not be shared with concurrent calls.
	Rand *rand.Rand
}
