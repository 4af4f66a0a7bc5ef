package notice

import (
	"math"
	"strconv"
	"sync"

	"github.com/filbertpier/filbertpier/internal/instance"
)

// minCallsPerSecond replaces lower limits. An upstream that got no call could not
// name another limit.
const minCallsPerSecond = 0.5

// CallLimit holds the calls per second that the upstream beside the node takes,
// as its last response named them. Its zero value is ready to use; it is safe for
// concurrent use.
type CallLimit struct {
	// mu guards the other fields.
	mu sync.Mutex
	// id and startedAtMs identify the instance that named the limit.
	id             string
	startedAtMs    int64
	callsPerSecond float64
}

// Set records the limit that an instance named; zero if it named none. It reports
// whether the limit changed.
func (l *CallLimit) Set(i *instance.Instance, callsPerSecond float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.of(i) != callsPerSecond
	l.id, l.startedAtMs, l.callsPerSecond = i.ID, i.StartedAtMs, callsPerSecond
	return changed
}

// Get returns the limit of an instance; zero if it named none.
func (l *CallLimit) Get(i *instance.Instance) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.of(i)
}

func (l *CallLimit) of(i *instance.Instance) float64 {
	if l.id != i.ID || l.startedAtMs != i.StartedAtMs {
		return 0
	}
	return l.callsPerSecond
}

// ParseCallLimit parses the header that names a limit; zero if it is empty. It
// returns a *CallLimitError if the text is not a decimal number of at least zero.
func ParseCallLimit(text string) (float64, error) {
	if text == "" {
		return 0, nil
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return 0, &CallLimitError{Text: text}
	}
	return max(v, minCallsPerSecond), nil
}
