package dataplane

import (
	"context"
	"errors"
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/internal/quarantine"
	"github.com/filbertpier/filbertpier/internal/responsehead"
)

// crashGuard rejects requests that are quarantined because they crash upstreams,
// and reports crashes to the other nodes of the service. It is safe for
// concurrent use.
type crashGuard struct {
	cfg     Config
	control ControlPlane
	guard   *quarantine.Guard
	reports *quarantine.PendingReports
	// transport is for suspects; it does not reuse connections.
	transport *responsehead.Transport
}

func newCrashGuard(cfg Config, control ControlPlane) *crashGuard {
	transport := newTransport(cfg.LocalIP, 0)
	transport.DisableKeepAlives = true
	return &crashGuard{
		cfg: cfg, control: control,
		guard: quarantine.NewGuard(), reports: quarantine.NewPendingReports(), transport: responsehead.NewTransport(transport),
	}
}

// admit admits a call that is not quarantined. A suspect waits until no other
// suspect runs. The caller must release the call. Errors are of type
// *call.Problem.
func (g *crashGuard) admit(ctx context.Context, x *exchange) (*guardedCall, error) {
	route := x.call.Route.Name
	admission, err := g.guard.Admit(ctx, x.quarantineFingerprint())
	if err != nil {
		return nil, g.problem(route, err)
	}
	return &guardedCall{guard: g, route: route, Admission: admission}, nil
}

// problem converts an error of the quarantine and logs a quarantined call.
func (g *crashGuard) problem(route string, err error) error {
	var running *quarantine.SuspectRunningError
	if errors.As(err, &running) {
		return call.NewProblem(call.ProblemOverloaded, call.RanNo, running.Error(), running.Err)
	}
	g.cfg.Decisions.Record("call-quarantined", "route", route)
	return call.NewProblem(call.ProblemQuarantined, call.RanNo, "", nil)
}

// reportCrash sends a crash report to the nodes of the service and waits up to
// quarantine.ReportTimeout for their acknowledgements, so that a copy of the request does
// not reach a node before the report does.
func (g *crashGuard) reportCrash(c *quarantine.Crash) {
	defer close(c.Reported)
	now, self := time.Now(), g.control.Self()
	g.recordSuspicions(now, self.VM, c.Suspects)
	// Members with a boot of zero are still joining.
	var vms []string
	view := g.control.Table().View(now)
	for _, m := range view.Service(self.Service) {
		if m.VM != self.VM && m.Boot != 0 {
			vms = append(vms, m.VM)
		}
	}
	id, acknowledged := g.reports.Add(vms)
	defer g.reports.Remove(id)
	msg := &message.CrashReport{VM: self.VM, ID: id, Suspects: c.Suspects}
	for _, m := range view.Service(self.Service) {
		if m.VM != self.VM && m.Boot != 0 {
			g.control.Send(m, msg)
		}
	}
	timer := time.NewTimer(quarantine.ReportTimeout)
	defer timer.Stop()
	select {
	case <-acknowledged:
	case <-timer.C:
		g.cfg.Decisions.Record("crash-report-unacknowledged", "nodes", len(vms))
	}
}

// handleReport records another node's report and acknowledges it. A node that is
// not ready ignores reports: it cannot send yet and runs no calls.
func (g *crashGuard) handleReport(now time.Time, m *message.CrashReport) {
	if !g.control.Ready(now) {
		return
	}
	g.recordSuspicions(now, m.VM, m.Suspects)
	if from, ok := g.control.Table().Get(m.VM); ok {
		g.control.Send(from, &message.CrashAck{VM: g.control.Self().VM, ID: m.ID})
	}
}

func (g *crashGuard) recordSuspicions(now time.Time, vm string, suspicions []quarantine.Suspect) {
	quarantined := 0
	for _, s := range suspicions {
		if g.guard.Table.RecordSuspect(now, s) == quarantine.StateQuarantined {
			quarantined++
		}
	}
	g.cfg.Decisions.Record("crash-recorded", "vm", vm, "requests", len(suspicions), "quarantined", quarantined)
}
