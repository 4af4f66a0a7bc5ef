package placement

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/instance"
)

// Choice is the instance chosen for an attempt, with what decided.
type Choice struct {
	Instance *instance.Instance
	// Expected is the time to the answer that was expected.
	Expected time.Duration
	// Candidates counts the instances that could have been chosen.
	Candidates int
	// LastResort is set if every candidate is out after failures.
	LastResort bool
}
