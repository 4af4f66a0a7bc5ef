package mesh

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/filbertpier/filbertpier/internal/admission"
	"github.com/filbertpier/filbertpier/internal/httpconn"
	"github.com/filbertpier/filbertpier/internal/placement"
	"github.com/filbertpier/filbertpier/internal/retry"
	"github.com/filbertpier/filbertpier/internal/split"
	"github.com/filbertpier/filbertpier/internal/uplink"
)

// Server serves the callers on the VM and the other nodes. It is safe for
// concurrent use.
type Server struct {
	cfg      Config
	chooser  *placement.Chooser
	budgets  *retry.Budgets
	limiter  *admission.Limiter
	upstream *httpconn.Pool
	peers    *httpconn.Pool
	splits   *split.Chooser
	prober   *prober
	// sizes holds the sizes of calls by route, served those of the answers to
	// other nodes by rank.
	sizes, served *placement.Sizes
	link          *uplink.Link
	// background ends with Run; probes of lost nodes use it.
	background    context.Context
	endBackground context.CancelFunc
	// abandoned ends when no call is waited for any longer.
	abandoned context.Context
	abandon   context.CancelFunc
	// stopping is set once the node is unready, closing once it refuses calls.
	stopping, closing atomic.Bool
	// downUntil is when an upstream that refused a connection is tried again,
	// in Unix nanoseconds.
	downUntil atomic.Int64
}

// NewServer returns a server.
func NewServer(cfg Config) *Server {
	s := &Server{
		cfg:     cfg,
		chooser: placement.NewChooser(),
		budgets: retry.NewBudgetsWithOptions(retry.Options{OutermostReserve: retryReserve, NestedReserve: retryReserve}),
		limiter: admission.NewLimiter(1),
		splits:  split.NewChooser(),
		sizes:   placement.NewSizes(),
		served:  placement.NewSizes(),
		link:    uplink.NewLink(float64(cfg.LinkBytesPerSecond)),
		upstream: httpconn.NewPool(httpconn.Options{
			IdleTimeout: upstreamIdle, MaxIdle: 64, DialTimeout: dialTimeout, SilenceTimeout: silence,
			EchoHeader: cfg.Names.AttemptID, LocalIP: cfg.LocalIP,
		}),
		peers: httpconn.NewPool(httpconn.Options{
			IdleTimeout: peerIdle, MaxIdle: 32, DialTimeout: dialTimeout, SilenceTimeout: peerSilence, LocalIP: cfg.LocalIP,
		}),
	}
	s.background, s.endBackground = context.WithCancel(context.Background())
	s.abandoned, s.abandon = context.WithCancel(context.Background())
	s.prober = newProber(s.peers.Warm)
	return s
}

// retryReserve is the number of retries that a node may make before calls have
// earned any. All nodes of a fleet have it, so it is small.
const retryReserve = 1.0

// Run drops old observations and idle connections until the context ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	defer s.endBackground()
	for {
		select {
		case <-ctx.Done():
			s.upstream.Close()
			s.peers.Close()
			return
		case now := <-ticker.C:
			s.upstream.CloseIdle()
			s.peers.CloseIdle()
			s.chooser.Expire(now.Add(-beliefMemory))
			s.cfg.Directory.Expire(now)
		}
	}
}

// Ready reports whether the node can serve callers.
func (s *Server) Ready() bool {
	return !s.stopping.Load() && s.cfg.Store.Current() != nil
}

// Stop makes the node unready. Calls are served as before.
func (s *Server) Stop() { s.stopping.Store(true) }

// Abandon gives the calls of callers that are still in flight their last
// answer. Answers that are being sent go on.
func (s *Server) Abandon() { s.abandon() }

// Drain refuses all calls from now on and closes the connections on which they
// come. Calls in flight finish.
func (s *Server) Drain() {
	s.closing.Store(true)
	s.limiter.Drain()
}
