package mesh

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertpier/filbertpier/internal/httpconn"
	"github.com/filbertpier/filbertpier/internal/quarantine"
)

// crashGuard refuses calls that crash upstreams and reports crashes of the upstream
// beside the node to the other nodes of its service. It is safe for concurrent use.
type crashGuard struct {
	guard    *quarantine.Guard
	reporter CrashReporter
	// probe opens a connection to the upstream. It returns a *httpconn.DialError if
	// the upstream does not accept one.
	probe func(ctx context.Context) error
	// closeIdle closes the idle connections to the upstream.
	closeIdle func()
	log       hclog.Logger
	crashes   prometheus.Counter
}

// admit admits a call unless it is quarantined. The admission must be released. The
// result is not nil if the call is refused.
func (g *crashGuard) admit(ctx context.Context, q *request) (*quarantine.Admission, *result) {
	admission, err := g.guard.Admit(ctx, q.fingerprint())
	if err != nil {
		return nil, quarantineResult(ctx, err)
	}
	return admission, nil
}

// begin marks an admitted call as running. The result is not nil if it is refused.
func (g *crashGuard) begin(ctx context.Context, a *quarantine.Admission) *result {
	if err := a.Begin(); err != nil {
		return quarantineResult(ctx, err)
	}
	return nil
}

// observe learns from the result of a call that ran. If the upstream crashed, it returns
// once the other nodes know, so that no copy of the call reaches them before.
func (g *crashGuard) observe(a *quarantine.Admission, res *result) {
	switch {
	case res.kind == ResultAnswered:
		if a.RecordSuccess() {
			g.log.Info("suspect call succeeded", "status", res.status)
		}
	case res.kind == ResultBroken && res.reason == ReasonConnectionBroken && g.upstreamCrashed():
		crash, first := a.RecordCrash()
		if first {
			g.report(crash)
		}
		<-crash.Reported
	}
}

// upstreamCrashed reports whether the upstream accepts no connections after one to it
// broke. A broken connection alone can have other causes.
func (g *crashGuard) upstreamCrashed() bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	err := g.probe(ctx)
	var dial *httpconn.DialError
	if !errors.As(err, &dial) || !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ECONNRESET) {
		return false
	}
	// A call on a connection from before the crash would count as another crash.
	g.closeIdle()
	return true
}

// report tells the other nodes of the suspects, and quarantines a sole suspect that has
// succeeded at none of them since it was last suspect.
func (g *crashGuard) report(c *quarantine.Crash) {
	defer close(c.Reported)
	g.crashes.Inc()
	ctx, cancel := context.WithTimeout(context.Background(), quarantine.ReportTimeout)
	defer cancel()
	suspects := c.Fingerprints()
	for _, f := range suspects {
		g.guard.Table.MarkSuspect(time.Now(), f)
	}
	succeeded := g.reporter.Report(ctx, suspects)
	var list []quarantine.Quarantined
	for _, s := range c.Suspects {
		if s.Sole && !succeeded[s.Fingerprint] {
			list = append(list, quarantine.Quarantined{Fingerprint: s.Fingerprint, Remaining: quarantine.EntryLifetime})
		}
	}
	for _, q := range list {
		g.guard.Table.Quarantine(time.Now(), q)
	}
	g.log.Warn("upstream crashed", "suspects", len(suspects), "succeeded_elsewhere", len(succeeded), "quarantined", len(list))
	if len(list) > 0 {
		shareCtx, cancelShare := context.WithTimeout(context.Background(), quarantine.ReportTimeout)
		defer cancelShare()
		g.reporter.Share(shareCtx, list)
	}
}

// shareQuarantined passes the quarantined fingerprints on to another node until ctx
// ends. Nodes that start, or that were out of reach, learn of them this way.
func (g *crashGuard) shareQuarantined(ctx context.Context) {
	ticker := time.NewTicker(quarantineShareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if list := g.guard.Table.Quarantined(now); len(list) > 0 {
				shareCtx, cancel := context.WithTimeout(ctx, quarantineShareInterval)
				g.reporter.ShareWithOne(shareCtx, list)
				cancel()
			}
		}
	}
}

// quarantineResult converts an error of the quarantine into a result.
func quarantineResult(ctx context.Context, err error) *result {
	var quarantined *quarantine.QuarantinedError
	if errors.As(err, &quarantined) {
		res := notRun(ReasonQuarantined, err.Error())
		res.expectedWait = quarantined.Remaining
		return res
	}
	if ctx.Err() != nil {
		return notRun(contextReason(ctx), err.Error())
	}
	res := notRun(ReasonSuspectRunning, err.Error())
	res.expectedWait = minRetryAfter
	return res
}

// fingerprint identifies the call and its copies, which share method, host, target,
// caller and body.
func (q *request) fingerprint() quarantine.Fingerprint {
	return quarantine.NewFingerprint([]string{q.method, q.host, q.target, q.callerService}, q.length, q.body)
}
