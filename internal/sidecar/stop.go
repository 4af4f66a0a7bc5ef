package sidecar

import (
	"context"
	"sync"
	"time"
)

const (
	// unreadyShare is the fraction of the stop time in which a node reports
	// unready and still serves calls: callers are moved to other nodes after two
	// failed ready checks.
	unreadyShare = 0.5
	// marginShare is the fraction of the stop time that is kept in reserve, so
	// that the node closes before it is killed.
	marginShare = 0.05
	// cancelTime is how long canceled calls may take to send their error
	// responses.
	cancelTime = 250 * time.Millisecond
	// flushTime is how long the servers may take to send the last responses.
	flushTime = 150 * time.Millisecond
)

// Stop marks the node unready and serves until callers have had time to switch
// to other nodes. Then it refuses new calls, because some callers keep sending
// them, and waits for the calls in flight. Those that take too long are canceled
// and get an error response. The node is closed within its stop time.
func (n *Node) Stop() {
	began := time.Now()
	n.server.MarkUnready()
	total := n.settings.StopGracePeriod
	timer := time.NewTimer(time.Duration(unreadyShare * float64(total)))
	<-timer.C
	n.server.Drain()
	remaining := total - time.Since(began) - time.Duration(marginShare*float64(total)) - flushTime
	idle := n.requests.waitIdle(remaining - cancelTime)
	if !idle {
		n.server.CancelCalls()
		n.requests.waitIdle(cancelTime)
	}
	n.shutdown()
	n.log.Info("node stopped", "idle", idle, "after_ms", time.Since(began).Milliseconds())
	n.Close()
}

// shutdown closes the listeners and lets the HTTP servers send their last
// responses for up to flushTime.
func (n *Node) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTime)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range n.servers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// An error means that a call was still in flight after flushTime.
			if err := s.Shutdown(ctx); err != nil {
				n.log.Warn("calls in flight aborted by the stop", "addr", s.Addr, "error", err.Error())
			}
		}()
	}
	wg.Wait()
}
