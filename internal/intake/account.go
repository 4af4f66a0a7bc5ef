package intake

import "sync/atomic"

// account counts the use of a limited resource. It is safe for concurrent use.
type account struct {
	limit int64
	used  atomic.Int64
}

// take adds n to the use unless that would exceed the ceiling of the class, and reports
// whether it did.
func (a *account) take(c Class, n int64) bool {
	ceiling := c.ceiling(a.limit)
	for {
		used := a.used.Load()
		if used+n > ceiling {
			return false
		}
		if a.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

func (a *account) give(n int64) { a.used.Add(-n) }
