package fleet

import "sync"

// responses holds the response or the error of each node.
type responses[T any] struct {
	// values and ok are in the order of the client's nodes. A value is valid if
	// its ok is set.
	values []T
	ok     []bool

	// mu guards failed.
	mu sync.Mutex
	// failed maps the URL of a node to its error.
	failed map[string]string
}

func (a *responses[T]) addFailure(node string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failed[node] = err.Error()
}

// err returns an *Error for the nodes that failed, or nil.
func (a *responses[T]) err() error {
	if len(a.failed) == 0 {
		return nil
	}
	return &Error{Failed: a.failed, Total: len(a.values)}
}

// collect returns what item makes of the response of each node that answered, in the order
// of the nodes.
func collect[T, R any](c *Client, a *responses[T], item func(node string, value T) R) []R {
	items := []R{}
	for i, value := range a.values {
		if a.ok[i] {
			items = append(items, item(c.nodes[i], value))
		}
	}
	return items
}
