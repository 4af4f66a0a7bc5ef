package dataplane

import (
	"context"
	"net/http"
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/internal/quarantine"
)

// crashGuard keeps requests that crash upstreams from the upstream beside this
// node, and tells the other nodes of the service about crashes. It is safe for
// concurrent use.
type crashGuard struct {
	cfg     Config
	control Control
	table   *quarantine.Table
	runs    *quarantine.InFlightRequests
	reports *quarantine.PendingReports
	// alone holds one token for the suspect that may run.
	alone chan struct{}
	// transport is for suspects; it does not reuse connections.
	transport *http.Transport
}

func newCrashGuard(cfg Config, control Control) *crashGuard {
	g := &crashGuard{
		cfg: cfg, control: control,
		table: quarantine.NewTable(), runs: quarantine.NewInFlightRequests(), reports: quarantine.NewPendingReports(),
		alone: make(chan struct{}, 1), transport: newTransport(cfg.LocalIP, 0),
	}
	g.transport.DisableKeepAlives = true
	return g
}

// enter admits a call. A suspect waits until no other suspect runs. It returns
// a *call.Problem.
func (g *crashGuard) enter(ctx context.Context, x *exchange) (*crashStay, error) {
	stay := &crashStay{guard: g, route: x.call.Route.Name, fingerprint: quarantine.Fingerprint(x.poisonFingerprint())}
	switch g.table.State(time.Now(), stay.fingerprint) {
	case quarantine.StateQuarantined:
		return nil, stay.rejected()
	case quarantine.StateSuspect:
		select {
		case g.alone <- struct{}{}:
			stay.suspect = true
		case <-ctx.Done():
			return nil, call.NewProblem(call.ProblemOverloaded, call.RanNo, "another suspect of a crash runs", ctx.Err())
		}
	}
	return stay, nil
}

// report tells the nodes of the service about a crash and waits a short time
// for them, so that a copy of a poison request does not overtake the report.
func (g *crashGuard) report(c *quarantine.Crash) {
	defer close(c.Reported)
	now, self := time.Now(), g.control.Self()
	g.record(now, self.VM, c.Suspects)
	var vms []string
	view := g.control.Table().View(now)
	for _, m := range view.Service(self.Service) {
		if m.VM != self.VM && m.Boot != 0 {
			vms = append(vms, m.VM)
		}
	}
	id, acknowledged := g.reports.Add(vms)
	defer g.reports.Remove(id)
	msg := &message.CrashReport{VM: self.VM, ID: id, Suspicions: c.Suspects}
	for _, m := range view.Service(self.Service) {
		if m.VM != self.VM && m.Boot != 0 {
			g.control.Send(m, msg)
		}
	}
	timer := time.NewTimer(reportLimit)
	defer timer.Stop()
	select {
	case <-acknowledged:
	case <-timer.C:
		g.cfg.Decisions.Line("crash-report-unacknowledged", "nodes", len(vms))
	}
}

// onReport records another node's report and acknowledges it. A node that is
// not ready cannot send yet and runs no calls.
func (g *crashGuard) onReport(now time.Time, m *message.CrashReport) {
	if !g.control.Ready(now) {
		return
	}
	g.record(now, m.VM, m.Suspicions)
	if from, ok := g.control.Table().Get(m.VM); ok {
		g.control.Send(from, &message.CrashAck{VM: g.control.Self().VM, ID: m.ID})
	}
}

func (g *crashGuard) record(now time.Time, vm string, suspicions []quarantine.Suspect) {
	quarantined := 0
	for _, s := range suspicions {
		if g.table.RecordSuspect(now, s) == quarantine.StateQuarantined {
			quarantined++
		}
	}
	g.cfg.Decisions.Line("crash-recorded", "vm", vm, "requests", len(suspicions), "quarantined", quarantined)
}
