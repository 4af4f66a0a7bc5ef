package mesh

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/filbertpier/filbertpier/internal/admission"
	"github.com/filbertpier/filbertpier/internal/comeback"
	"github.com/filbertpier/filbertpier/internal/httpconn"
	"github.com/filbertpier/filbertpier/internal/mesh/coldstart"
	"github.com/filbertpier/filbertpier/internal/mesh/notice"
	"github.com/filbertpier/filbertpier/internal/mesh/probe"
	"github.com/filbertpier/filbertpier/internal/mesh/stopping"
	"github.com/filbertpier/filbertpier/internal/placement"
	"github.com/filbertpier/filbertpier/internal/retry"
	"github.com/filbertpier/filbertpier/internal/split"
	"github.com/filbertpier/filbertpier/internal/uplink"
)

// Server serves calls from callers on the VM and from other nodes. It is safe
// for concurrent use.
type Server struct {
	cfg     Config
	chooser *placement.Chooser
	budgets *retry.Budgets
	// comeback plans when refused callers may come back.
	comeback      *comeback.Planner
	limiter       *admission.Limiter
	upstream      *httpconn.Pool
	peers         *httpconn.Pool
	trafficSplits *split.Chooser
	prober        *probe.Prober
	crashGuard    *crashGuard
	// routeSizes holds the mean size of responses by route, responseSizes that of
	// responses to other nodes by rank.
	routeSizes, responseSizes *placement.MeanSizes
	// link schedules the responses that the node sends, inbound the large request
	// bodies that it receives.
	link, inbound *uplink.Link
	// background is the context of the probes of lost nodes; it ends with Run.
	background    context.Context
	endBackground context.CancelFunc
	// callsCanceled ends once CancelCalls was called.
	callsCanceled context.Context
	cancelCalls   context.CancelFunc
	// stopPlan is set by BeginStop, draining by Drain.
	stopPlan atomic.Pointer[stopping.Plan]
	draining atomic.Bool
	// downUntil is when the upstream is tried again after a failed connection
	// attempt, in Unix nanoseconds.
	downUntil atomic.Int64
	// misdirected is the instance that the upstream refused to be.
	misdirected notice.Misdirection
	// callLimit is the limit that the upstream's last response named.
	callLimit notice.CallLimit
	// coldStart follows whether the upstream is cold, by its health endpoint.
	coldStart *coldstart.Tracker
	health    *coldstart.HealthClient
}

// NewServer returns a server; the caller must start Run.
func NewServer(cfg Config) *Server {
	s := &Server{
		cfg:           cfg,
		chooser:       placement.NewChooser(),
		budgets:       retry.NewBudgetsWithOptions(retry.Options{OutermostReserve: retryReserve, NestedReserve: retryReserve}),
		comeback:      comeback.NewPlanner(),
		limiter:       admission.NewLimiter(1),
		trafficSplits: split.NewChooser(),
		routeSizes:    placement.NewMeanSizes(),
		responseSizes: placement.NewMeanSizes(),
		link:          uplink.NewLink(float64(cfg.LinkBytesPerSecond)),
		inbound:       uplink.NewLink(float64(cfg.LinkBytesPerSecond)),
		coldStart:     coldstart.NewTracker(time.Now()),
		health:        coldstart.NewHealthClient(cfg.UpstreamAddr, cfg.LocalIP, cfg.HeaderNames.ColdRemaining),
		upstream: httpconn.NewPool(httpconn.Options{
			IdleTimeout: upstreamIdleTimeout, MaxIdle: 64, DialTimeout: dialTimeout, TCPUserTimeout: upstreamTCPUserTimeout,
			EchoHeader: cfg.HeaderNames.AttemptID, LocalIP: cfg.LocalIP,
		}),
		peers: httpconn.NewPool(httpconn.Options{
			IdleTimeout: peerClientIdleTimeout, MaxIdle: 32, DialTimeout: dialTimeout, TCPUserTimeout: peerTCPUserTimeout, LocalIP: cfg.LocalIP,
		}),
	}
	s.background, s.endBackground = context.WithCancel(context.Background())
	s.callsCanceled, s.cancelCalls = context.WithCancel(context.Background())
	s.prober = probe.NewProber(s.peers.Warm)
	s.crashGuard = &crashGuard{
		guard: cfg.Quarantine, reporter: cfg.Crashes, log: cfg.Log, crashes: cfg.Metrics.UpstreamCrashes,
		probe:     func(ctx context.Context) error { return s.upstream.Warm(ctx, cfg.UpstreamAddr) },
		closeIdle: s.upstream.Close,
	}
	return s
}

// retryReserve is the number of retries that a node may make before calls have
// added to the retry budget. Every node of the fleet has this reserve, so it is
// small.
const retryReserve = 1.0

// Run removes expired observations, connections and directory entries until ctx
// ends. Then it closes all idle connections and stops the probes.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(cleanupInterval)
	defer ticker.Stop()
	defer s.endBackground()
	go s.crashGuard.shareQuarantined(s.background)
	go s.watchColdStart(s.background)
	for {
		select {
		case <-ctx.Done():
			s.upstream.Close()
			s.peers.Close()
			return
		case now := <-ticker.C:
			s.upstream.CloseExpired()
			s.peers.CloseExpired()
			s.chooser.Expire(now.Add(-observationTTL))
			s.cfg.Directory.Expire(now)
		}
	}
}

// Ready reports whether the node can serve callers: it has a configuration
// version and no planned stop has begun.
func (s *Server) Ready() bool {
	return s.stopPlan.Load() == nil && s.cfg.Store.Current() != nil
}

// BeginStop begins a planned stop: Ready returns false, and calls that the plan does
// not take are refused. The caller invokes Drain, CancelCalls and closes the server
// at the times of the plan.
func (s *Server) BeginStop(p *stopping.Plan) { s.stopPlan.Store(p) }

// CancelCalls cancels the calls that are still waiting for a response, which then
// get an error response. Responses that are already being sent continue.
func (s *Server) CancelCalls() { s.cancelCalls() }

// Drain refuses all new calls and closes the caller connections on which they
// arrive. Calls in flight finish.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.limiter.Drain()
}
