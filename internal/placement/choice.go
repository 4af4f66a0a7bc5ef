package placement

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/instance"
)

// Choice is the instance chosen for an attempt, with the data for its log line.
type Choice struct {
	Instance *instance.Instance
	// Expected is the expected time to the response, including the transfer cost
	// and a random jitter.
	Expected time.Duration
	// Candidates is the number of available instances; zero for a last resort.
	Candidates int
	// LastResort is set if no instance is available and the call goes to the one
	// with the lowest expected time anyway.
	LastResort bool
}
