package quarantine

import "sync"

// InFlightRequests is the set of requests that run on one upstream. It is safe
// for concurrent use. There is one set per upstream, so a single lock suffices.
type InFlightRequests struct {
	// mu guards inFlight and the crash of each request.
	mu       sync.Mutex
	inFlight map[*InFlightRequest]struct{}
}

// NewInFlightRequests returns an empty set.
func NewInFlightRequests() *InFlightRequests {
	return &InFlightRequests{inFlight: map[*InFlightRequest]struct{}{}}
}

// Begin adds a request. End must be called once for it.
func (r *InFlightRequests) Begin(f Fingerprint, suspect bool) *InFlightRequest {
	request := &InFlightRequest{fingerprint: f, suspect: suspect}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[request] = struct{}{}
	return request
}

// End removes a request.
func (r *InFlightRequests) End(request *InFlightRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, request)
}

// RecordBrokenConnection records that the connection of a request broke, and
// returns the crash of the upstream that the request is attributed to. A new
// crash is attributed to all requests in flight that have none yet. If exactly
// one of them was a suspect before, it is marked as the sole suspect. If first
// is true, the crash is new and has to be reported.
func (r *InFlightRequests) RecordBrokenConnection(request *InFlightRequest) (crash *Crash, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if request.crash != nil {
		return request.crash, false
	}
	crash = &Crash{Reported: make(chan struct{})}
	suspects := 0
	for other := range r.inFlight {
		if other.crash == nil && other.suspect {
			suspects++
		}
	}
	for other := range r.inFlight {
		if other.crash != nil {
			continue
		}
		other.crash = crash
		crash.Suspects = append(crash.Suspects, Suspect{Fingerprint: other.fingerprint, Sole: other.suspect && suspects == 1})
	}
	return crash, true
}
