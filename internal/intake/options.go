package intake

import (
	"time"

	"github.com/hashicorp/go-hclog"
)

// Options configures a Guard.
type Options struct {
	// MemoryBytes is the memory limit of the process; zero means defaultMemoryBytes.
	// Clients may make it hold memoryShare of that.
	MemoryBytes int64
	// MaxDescriptors is the limit of file descriptors of the process; zero means
	// defaultMaxDescriptors. Clients may open connections up to connectionShare of that.
	MaxDescriptors int
	Metrics        *Metrics
	Log            hclog.Logger
}

const (
	defaultMemoryBytes    = 256 << 20
	defaultMaxDescriptors = 4096
	// memoryShare leaves room for the process itself and for garbage: what short calls
	// have given back stays in memory until the runtime collects it, which takes longer
	// when the processor is short.
	memoryShare = 0.2
	// connectionShare leaves room for the connections to upstreams and to other nodes, of
	// which each call of a caller needs one.
	connectionShare = 0.5
	// minBytesPerSecond is the slowest accepted pace of a client that sends a request or
	// reads a response. A megabyte takes minutes at it, longer than any call.
	minBytesPerSecond = 4 << 10
	// maxBehind is how far a client may fall behind that pace before its connection is
	// closed. It is longer than the time limits of calls in use, and TCP repeats a lost
	// segment several times in it.
	maxBehind = 30 * time.Second
	// sweepInterval is how often clients that are behind are looked for.
	sweepInterval = time.Second
	// evictableBehind is how far a client must be behind, or how long it must have been
	// idle, before its room is given to another one when there is no other. It is longer
	// than a round trip between regions with one lost segment.
	evictableBehind = 300 * time.Millisecond
)

func (o Options) memoryLimit() int64 {
	n := o.MemoryBytes
	if n <= 0 {
		n = defaultMemoryBytes
	}
	return int64(memoryShare * float64(n))
}

func (o Options) connectionLimit() int64 {
	n := o.MaxDescriptors
	if n <= 0 {
		n = defaultMaxDescriptors
	}
	return int64(connectionShare * float64(n))
}
