package placement

import (
	"math/rand/v2"
	"time"

	"github.com/filbertpier/filbertpier/internal/instance"
)

// Query asks for the instance of one attempt of a call.
type Query struct {
	Candidates []*instance.Instance
	// Zone and Region are those of the asking node.
	Zone, Region string
	// LocalAddr is the address of the instance beside the asking node.
	LocalAddr string
	// Order is the order of the call's rank.
	Order int
	// Target is the time in which the answer has its full worth; zero if
	// unknown.
	Target time.Duration
	// Bytes is the expected size of request and answer; zero if unknown.
	Bytes int
	// Exclude holds the ids of instances that the call has tried.
	Exclude []string
	// Rand is used by this call only.
	Rand *rand.Rand
}

func (q *Query) excluded(id string) bool {
	for _, e := range q.Exclude {
		if e == id {
			return true
		}
	}
	return false
}
