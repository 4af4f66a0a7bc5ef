package main

import "github.com/cespare/xxhash/v2"

const ledgerShards = 16

// ledger holds all attempts. It is safe for concurrent use.
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

func (l *ledger) with(id string, f func(*attempt)) {
	l.shards[xxhash.Sum64String(id)%ledgerShards].with(id, f)
}

// check reports the attempts that broke a promise.
func (l *ledger) check(v *verdict) (sent int) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for id, a := range s.byID {
			switch {
			case !a.sent:
				v.add("UNASKED", "attempt %s ran, no caller sent it", id)
			case a.once && a.runs > 1:
				v.add("TWICE", "attempt %s ran %d times", id, a.runs)
			case a.once && a.runs > 0 && a.notRun != 0:
				v.add("REFUSED", "attempt %s ran and got %d", id, a.notRun)
			}
			if a.sent {
				sent++
			}
		}
		s.mu.Unlock()
	}
	return sent
}
