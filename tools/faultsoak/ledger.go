package main

import "github.com/cespare/xxhash/v2"

const ledgerShards = 16

// ledger holds all attempts, sharded by id. It is safe for concurrent use.
type ledger struct {
	shards [ledgerShards]ledgerShard
}

func newLedger() *ledger {
	l := &ledger{}
	for i := range l.shards {
		l.shards[i].byID = map[string]*attempt{}
	}
	return l
}

// update calls f with the attempt, which is created if it is unknown. The shard
// is locked during the call.
func (l *ledger) update(id string, f func(*attempt)) {
	l.shards[xxhash.Sum64String(id)%ledgerShards].update(id, f)
}

// check reports the attempts that broke a guarantee, and returns how many were
// sent.
func (l *ledger) check(violations *violationLog) (sent int) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for id, a := range s.byID {
			switch {
			case !a.sent:
				violations.add("UNASKED", "attempt %s was executed, but no caller sent it", id)
			case a.nonIdempotent && a.executions > 1:
				violations.add("TWICE", "attempt %s was executed %d times", id, a.executions)
			case a.nonIdempotent && a.executions > 0 && a.refusalStatus != 0:
				violations.add("REFUSED", "attempt %s was executed, but its caller got status %d", id, a.refusalStatus)
			}
			if a.sent {
				sent++
			}
		}
		s.mu.Unlock()
	}
	return sent
}
