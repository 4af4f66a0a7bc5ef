package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/filbertpier/filbertpier/internal/mesh/stopping"
)

// Stop marks the node unready and serves until callers have had time to switch
// to other nodes, by then only what it can finish. Then it refuses new calls,
// because some callers keep sending them, and waits until the responses to the calls in
// flight are written. Calls that take too long are canceled and get an error response.
// The node is closed within its stop time.
func (n *Node) Stop() {
	began := time.Now()
	plan := stopping.NewPlan(began, n.settings.StopGracePeriod)
	n.server.BeginStop(plan)
	timer := time.NewTimer(time.Until(plan.Drain))
	<-timer.C
	n.server.Drain()
	idle := n.waitIdle(plan.Cancel)
	if !idle {
		n.server.CancelCalls()
		n.waitIdle(plan.Close)
	}
	n.shutdown()
	n.log.Info("node stopped", "idle", idle, "after_ms", time.Since(began).Milliseconds())
	n.Close()
}

// waitIdle returns true once all responses are written, or false at limit.
func (n *Node) waitIdle(limit time.Time) bool {
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	return n.conns.WaitIdle(ctx, 0)
}

// shutdown closes the listeners and lets the HTTP servers send their last
// responses for up to stopping.FlushTime.
func (n *Node) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), stopping.FlushTime)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range n.servers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// An error means that a call was still in flight after FlushTime.
			if err := s.Shutdown(ctx); err != nil {
				n.log.Warn("calls in flight aborted by the stop", "addr", s.Addr, "error", err.Error())
			}
		}()
	}
	wg.Wait()
}
