package peer

import "sync/atomic"

// trafficRecorder is a Traffic whose counts tests can read.
type trafficRecorder struct {
	bytes, dropped, silent, malformed atomic.Int64
}

func (r *trafficRecorder) Sent(_ bool, n int) { r.bytes.Add(int64(n)) }
func (r *trafficRecorder) Dropped()           { r.dropped.Add(1) }
func (r *trafficRecorder) SilentConnection()  { r.silent.Add(1) }
func (r *trafficRecorder) Malformed()         { r.malformed.Add(1) }
