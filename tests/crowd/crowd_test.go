//go:build crowd

package crowd

import (
	"net"
	"sync"
	"testing"
	"time"
)

const (
	// crowdSize is the number of connections of a crowd.
	crowdSize = 200
	// memoryMB and maxDescriptors are the limits in the settings of the attacked node,
	// and the bounds of its peak. Actual VMs have more of both.
	memoryMB       = 96
	maxDescriptors = 500
	// attackTime is how long a crowd stays before the ordinary request is sent. It lets
	// the node read what the crowd has sent.
	attackTime = time.Second
	// writeTimeout ends the writes of a connection from which the node does not read.
	writeTimeout = 2 * time.Second
	dialTimeout  = time.Second
	// serveTimeout bounds the wait for the response to the ordinary request, which is
	// sent again when it is refused. It is no bound on the node's speed.
	serveTimeout = time.Minute
)

// openCrowd opens the connections of a crowd, all at once, and returns when each has
// sent its part or was closed by the node. They stay open until the test has ended.
func openCrowd(t *testing.T, a attack, at target) {
	n := a.connections
	if n == 0 {
		n = crowdSize
	}
	var connections sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	for range n {
		connections.Go(func() {
			c := at.open()
			if c == nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
			a.send(c, at)
		})
	}
	connections.Wait()
	t.Cleanup(func() {
		for _, c := range open {
			_ = c.Close()
		}
	})
}

// checkCrowd guards against a node that ends, hangs, or exceeds its memory or its
// descriptors because of a crowd, and no longer serves an ordinary caller.
func checkCrowd(t *testing.T, p *process, a attack, at target, ordinary func() bool) {
	t.Helper()
	if !p.awaitServed(ordinary) {
		t.Fatalf("no ordinary request was answered before the attack; log: %s", p.Log)
	}
	openCrowd(t, a, at)
	time.Sleep(attackTime)
	served := p.awaitServed(ordinary)
	usage := p.usage()
	t.Logf("peak memory %d MB of %d, at most %d descriptors of %d", usage.peakMB, memoryMB, usage.descriptors, maxDescriptors)
	if p.ended() {
		t.Fatalf("the node has ended: %s", p.Log)
	}
	if usage.peakMB > memoryMB {
		t.Errorf("the node's memory reached %d MB, want at most %d", usage.peakMB, memoryMB)
	}
	if usage.descriptors > maxDescriptors {
		t.Errorf("the node had %d open descriptors, want at most %d", usage.descriptors, maxDescriptors)
	}
	if !served {
		t.Error("no ordinary request was answered while the crowd stayed")
	}
}
