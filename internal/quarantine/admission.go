package quarantine

import "time"

// Admission is a request that a Guard has admitted. It is not safe for concurrent
// use.
type Admission struct {
	// Suspect is set if the request runs while no other suspect does.
	Suspect     bool
	guard       *Guard
	fingerprint Fingerprint
	run         *InFlightRequest
}

// Begin checks the quarantine again, since the request may have waited for a slot,
// and marks the request as running. It does not wait: if the request has become a
// suspect meanwhile and another suspect runs, it returns a *SuspectRunningError. It
// returns a *QuarantinedError for a request that must not run.
func (a *Admission) Begin() error {
	state, remaining := a.guard.Table.Lookup(time.Now(), a.fingerprint)
	switch state {
	case StateQuarantined:
		return &QuarantinedError{Remaining: remaining}
	case StateSuspect:
		if a.Suspect {
			break
		}
		select {
		case a.guard.suspectSlot <- struct{}{}:
			a.Suspect = true
		default:
			return &SuspectRunningError{}
		}
	}
	a.run = a.guard.inFlight.Begin(a.fingerprint, a.Suspect)
	return nil
}

// RecordSuccess records that the upstream has survived the request. It reports
// whether the request was a suspect.
func (a *Admission) RecordSuccess() bool {
	return a.guard.Table.RecordSuccess(time.Now(), a.fingerprint)
}

// RecordCrash records that the upstream crashed while the request ran; see
// InFlightRequests.RecordBrokenConnection.
func (a *Admission) RecordCrash() (crash *Crash, first bool) {
	return a.guard.inFlight.RecordBrokenConnection(a.run)
}

// Release marks the request as ended.
func (a *Admission) Release() {
	if a.run != nil {
		a.guard.inFlight.End(a.run)
	}
	if a.Suspect {
		<-a.guard.suspectSlot
	}
}
