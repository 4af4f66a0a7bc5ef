package fleet

import "sync"

// answers holds the outcome per node in the order of the nodes.
type answers[T any] struct {
	values []T
	ok     []bool

	// mu guards failed.
	mu     sync.Mutex
	failed map[string]string
}

func (a *answers[T]) fail(node string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failed[node] = err.Error()
}

// err returns an *Error for the nodes that failed, or nil.
func (a *answers[T]) err() error {
	if len(a.failed) == 0 {
		return nil
	}
	return &Error{Failed: a.failed, Total: len(a.values)}
}
