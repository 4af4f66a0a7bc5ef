package dataplane

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/filbertpier/filbertpier/internal/admission"
	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/routing"
)

// Server serves calls from callers, upstreams and other nodes. It is an
// http.Handler and safe for concurrent use.
type Server struct {
	cfg      Config
	control  Control
	picker   *routing.Picker
	limiter  *admission.Limiter
	peers    *http.Transport
	upstream *http.Transport
	buffers  bufferPool
}

// NewServer returns a server for the upstream that cfg names.
func NewServer(cfg Config, control Control) *Server {
	if cfg.CatchUpLimit == 0 {
		cfg.CatchUpLimit = defaultCatchUp
	}
	return &Server{
		cfg:      cfg,
		control:  control,
		picker:   routing.NewPicker(),
		limiter:  admission.NewLimiter(0),
		peers:    newTransport(cfg.LocalIP, 0),
		upstream: newTransport(cfg.LocalIP, defaultConnections),
		buffers:  newBufferPool(),
	}
}

func newTransport(localIP string, maxConns int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if ip := net.ParseIP(localIP); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Close closes idle connections.
func (s *Server) Close() {
	s.peers.CloseIdleConnections()
	s.upstream.CloseIdleConnections()
}

// Load returns the running and waiting calls of the upstream.
func (s *Server) Load() (running, waiting int) { return s.limiter.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	x, problem := s.open(start, w, r)
	if problem == nil {
		problem = s.serve(x)
	}
	s.finish(start, w, r, x, problem)
}

func (s *Server) serve(x *exchange) error {
	if target := x.r.Header.Get(call.HeaderTarget); target != "" {
		return s.serveTargeted(x, target)
	}
	return s.serveEntry(x)
}

// open checks the node's state and reads the call.
func (s *Server) open(now time.Time, w http.ResponseWriter, r *http.Request) (*exchange, error) {
	if !s.control.Ready(now) {
		return nil, call.NewProblem(call.ProblemNotReady, call.RanNo, "", nil)
	}
	required, err := call.ParseVersion(r.Header)
	if err != nil {
		return nil, err
	}
	snap, err := s.snapshotFor(r.Context(), required)
	if err != nil {
		return nil, err
	}
	c, err := call.Parse(now, r, snap.Document)
	if err != nil {
		return nil, err
	}
	c.Version = required
	s.cfg.Invariants.Check(!snap.ID.Less(required), "served-version", "serving %s, required %s", snap.ID, required)
	return &exchange{w: w, r: r, call: c, snap: snap}, nil
}

// serveEntry chooses an upstream and sends the call to the node beside it.
func (s *Server) serveEntry(x *exchange) error {
	service, ok := x.snap.Document.Service(x.call.Route.Service)
	s.cfg.Invariants.Check(ok, "route-service", "route %s points at unknown service %s", x.call.Route.Name, x.call.Route.Service)
	self := s.control.Self()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	now := time.Now()
	d, err := s.picker.Pick(now, routing.Query{
		View: s.control.Table().View(now), Self: self, Service: service.Selector,
		Order: x.call.Rank.Order, Worth: x.call.Rank.Worth, Target: time.Duration(x.call.Rank.TargetMs) * time.Millisecond, Deadline: x.call.Deadline, Rand: rng,
	})
	if err != nil {
		return call.NewProblem(call.ProblemNoUpstream, call.RanNo, err.Error(), err)
	}
	s.cfg.Decisions.Line("call-routed", "route", x.call.Route.Name, "rank", x.call.Rank.Name, "vm", d.Member.VM,
		"scope", d.Scope, "reason", d.Reason, "candidates", d.Candidates, "version", x.snap.ID.Version)
	if d.Member.VM == self.VM {
		return s.serveLocal(x)
	}
	return s.forward(x, d.Member)
}

// serveTargeted runs a call that another node sent to this node's upstream.
func (s *Server) serveTargeted(x *exchange, target string) error {
	if self := s.control.Self(); target != self.VM {
		return call.NewProblem(call.ProblemTargetMismatched, call.RanNo, "this is "+self.VM, nil)
	}
	return s.serveLocal(x)
}
