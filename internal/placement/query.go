package placement

import (
	"math/rand/v2"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/instance"
)

// Query describes one attempt of a call that needs an instance.
type Query struct {
	Candidates []*instance.Instance
	// Zone and Region are those of the sending node.
	Zone, Region string
	// LocalAddr is the address of the instance on the sending node's VM.
	LocalAddr string
	// AllowedRegions holds the regions in which the call may run.
	AllowedRegions config.RegionSet
	// ColdCallsPerSecond is the number of calls per second that a cold instance takes
	// from all senders together; zero if unlimited.
	ColdCallsPerSecond float64
	// Order is the position of the call's rank, 0 for the most urgent.
	Order int
	// Target is the time that remains until the response loses worth.
	Target time.Duration
	// RequestBytes is the size of the request body, ResponseBytes the expected size
	// of the response; zero if unknown.
	RequestBytes, ResponseBytes int
	// Exclude holds the ids of instances that the call has already tried.
	Exclude []string
	// Rand must not be shared with concurrent calls.
	Rand *rand.Rand
}

// permits reports whether the call may be sent to an instance at all.
func (q *Query) permits(now time.Time, i *instance.Instance) bool {
	return i.Serves(now) && q.AllowedRegions.Allows(i.Region) && !q.excluded(i.ID)
}

func (q *Query) excluded(id string) bool {
	for _, e := range q.Exclude {
		if e == id {
			return true
		}
	}
	return false
}
