package main

import "sync"

// refundLog holds the idempotency keys of the refunds for which a caller got a
// success response. It is safe for concurrent use.
type refundLog struct {
	// mu guards keys.
	mu   sync.Mutex
	keys []string
}

func (l *refundLog) add(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys = append(l.keys, key)
}

func (l *refundLog) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys
}
