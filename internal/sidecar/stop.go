package sidecar

import (
	"time"
)

const (
	// noticeShare is the part of the stop time in which a stopping node serves
	// as before: callers are taken elsewhere after two missed ready checks.
	noticeShare = 0.45
	// spareShare is the part of the stop time that is left unused at its end.
	spareShare = 0.1
	// quiet is how long no request may run or arrive before the node ends.
	quiet = 250 * time.Millisecond
)

// Stop makes the node unready, serves until callers have left and the requests
// in flight have ended, and ends the node within its stop time.
func (n *Node) Stop() {
	began := time.Now()
	n.server.Stop()
	total := n.settings.StopTime
	timer := time.NewTimer(time.Duration(noticeShare * float64(total)))
	<-timer.C
	n.server.Drain()
	rest := total - time.Since(began) - time.Duration(spareShare*float64(total))
	idle := n.conns.await(quiet, rest)
	n.log.Info("node stopped", "idle", idle, "after_ms", time.Since(began).Milliseconds())
	n.cancel()
	n.close()
	n.running.Wait()
}
