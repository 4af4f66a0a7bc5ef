package main

import "sync"

// refundLog holds the keys of the refunds that callers were told are done. It
// is safe for concurrent use.
type refundLog struct {
	// mu guards done.
	mu   sync.Mutex
	done []string
}

func (l *refundLog) add(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done = append(l.done, key)
}

func (l *refundLog) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.done
}
