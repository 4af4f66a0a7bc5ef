package sidecar

import (
	"context"
	"sync"
	"time"
)

const (
	// noticeShare is the part of the stop time in which a stopping node serves
	// as before: callers are taken elsewhere after two missed ready checks.
	noticeShare = 0.5
	// spareShare is the part of the stop time that is left unused at its end.
	spareShare = 0.05
	// abandonTime is the end of the stop time in which callers get their last
	// answers.
	abandonTime = 250 * time.Millisecond
	// settle is how long the answers of refused calls may take to be sent.
	settle = 150 * time.Millisecond
)

// Stop makes the node unready and serves until callers had time to leave. Then
// it refuses new calls, since some callers keep coming, waits for the calls in
// flight, gives those that take too long an answer of its own and ends the node within its stop time.
func (n *Node) Stop() {
	began := time.Now()
	n.server.MarkUnready()
	total := n.settings.StopGracePeriod
	timer := time.NewTimer(time.Duration(noticeShare * float64(total)))
	<-timer.C
	n.server.Drain()
	rest := total - time.Since(began) - time.Duration(spareShare*float64(total)) - settle
	idle := n.conns.await(rest - abandonTime)
	if !idle {
		n.server.CancelCalls()
		n.conns.await(abandonTime)
	}
	n.shutdown()
	n.log.Info("node stopped", "idle", idle, "after_ms", time.Since(began).Milliseconds())
	n.Close()
}

// shutdown lets the servers send the answers of the last calls.
func (n *Node) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), settle)
	defer cancel()
	var all sync.WaitGroup
	for _, s := range n.servers {
		all.Add(1)
		go func() {
			defer all.Done()
			// An error means that a call outlasted the stop time.
			if err := s.Shutdown(ctx); err != nil {
				n.log.Warn("calls cut off by the stop", "addr", s.Addr, "error", err.Error())
			}
		}()
	}
	all.Wait()
}
