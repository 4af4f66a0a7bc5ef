package replica

import (
	"slices"
	"sync"
	"sync/atomic"
)

// testNode is a node that reads from the platform or from its parent.
type testNode struct {
	source    *testSource
	table     *Table
	reader    *Reader
	publisher *Publisher
	position  atomic.Pointer[TreePosition]
	// mu guards deleted, the keys whose deletion the table has applied.
	mu      sync.Mutex
	deleted []string
}

func (n *testNode) knowsDeleted(key string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Contains(n.deleted, key)
}
