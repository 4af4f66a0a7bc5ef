package instance

import "time"

// withdrawals decides what an entry is worth that the platform lists after its return
// from a copy: the copy may be from before the instance said that it leaves, or before
// its removal. It is not safe for concurrent use.
type withdrawals struct {
	// byID holds the instances whose last known entry was draining or removed.
	byID map[string]withdrawal
	// restored holds, by id, the entries that do not count yet.
	restored map[string]restoredEntry
}

func newWithdrawals() withdrawals {
	return withdrawals{byID: map[string]withdrawal{}, restored: map[string]restoredEntry{}}
}

// remove records that the entry of an instance was removed in an era, without an outage
// of the platform in which it may have expired.
func (w *withdrawals) remove(now time.Time, i *Instance, era uint64) {
	known := w.byID[i.ID]
	draining := i.State == Draining || known.draining && known.startedAtMs == i.StartedAtMs
	w.byID[i.ID] = withdrawal{startedAtMs: i.StartedAtMs, era: era, draining: draining, markedAt: now}
}

// unlist forgets an entry that does not count yet.
func (w *withdrawals) unlist(id string) { delete(w.restored, id) }

// admit returns what the directory stores for a published entry. An entry of a later
// era than the withdrawal of the same start is draining or, if the instance was
// removed, gone until it is written again or restoredGrace has passed.
func (w *withdrawals) admit(i *Instance) *Instance {
	delete(w.restored, i.ID)
	if i.State == Draining {
		w.byID[i.ID] = withdrawal{startedAtMs: i.StartedAtMs, era: i.Revision.Era, draining: true, markedAt: i.StateSince}
		return i
	}
	known, ok := w.byID[i.ID]
	if !ok {
		return i
	}
	if i.StartedAtMs > known.startedAtMs || i.Revision.Era <= known.era {
		delete(w.byID, i.ID)
		return i
	}
	if known.draining {
		return i.asDraining()
	}
	known.era = i.Revision.Era
	w.byID[i.ID] = known
	w.restored[i.ID] = restoredEntry{instance: i, servesFrom: i.StateSince.Add(restoredGrace)}
	return i.asGone()
}

// takeDue returns the restored entries that count from now on.
func (w *withdrawals) takeDue(now time.Time) []*Instance {
	var due []*Instance
	for id, entry := range w.restored {
		if !now.Before(entry.servesFrom) {
			due = append(due, entry.instance)
			delete(w.restored, id)
		}
	}
	return due
}

// expire forgets withdrawals after leavingRetention.
func (w *withdrawals) expire(now time.Time) {
	for id, known := range w.byID {
		if now.Sub(known.markedAt) > leavingRetention {
			delete(w.byID, id)
		}
	}
}
