package dataplane

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/filbertpier/filbertpier/internal/admission"
	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/dataplane/relay"
	"github.com/filbertpier/filbertpier/internal/disconnect"
	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/internal/once"
	"github.com/filbertpier/filbertpier/internal/responsehead"
	"github.com/filbertpier/filbertpier/internal/routing"
	"github.com/filbertpier/filbertpier/snapshot"
)

// Server serves calls from callers, upstreams and other nodes. It is an
// http.Handler and safe for concurrent use.
type Server struct {
	cfg               Config
	control           ControlPlane
	picker            *routing.Picker
	limiter           *admission.Limiter
	peerTransport     *responsehead.Transport
	upstreamTransport *responsehead.Transport
	buffers           relay.BufferPool
	retrier           Retrier
	keys              *once.Table
	crashGuard        *crashGuard
	draining          atomic.Bool
	// lastExpiryNs is when the observations of unused upstreams were last
	// dropped, in Unix nanoseconds.
	lastExpiryNs atomic.Int64
}

// NewServer returns a server for the upstream at cfg.UpstreamAddr.
func NewServer(cfg Config, control ControlPlane) *Server {
	if cfg.CatchUpTimeout == 0 {
		cfg.CatchUpTimeout = defaultCatchUpTimeout
	}
	return &Server{
		crashGuard:        newCrashGuard(cfg, control),
		cfg:               cfg,
		control:           control,
		picker:            routing.NewPicker(),
		limiter:           admission.NewLimiter(0),
		peerTransport:     responsehead.NewTransport(newTransport(cfg.LocalIP, 0)),
		upstreamTransport: responsehead.NewTransport(newTransport(cfg.LocalIP, maxUpstreamConns)),
		buffers:           relay.NewBufferPool(),
		retrier:           newBudgetRetrier(),
		keys:              once.NewTable(cfg.Keys),
	}
}

// newTransport returns a transport with at most maxConns connections per host; 0
// means no limit.
func newTransport(localIP string, maxConns int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if ip := net.ParseIP(localIP); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		MaxConnsPerHost:        maxConns,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
	}
}

// Close closes idle connections to the upstream and to other nodes.
func (s *Server) Close() {
	s.peerTransport.CloseIdleConnections()
	s.upstreamTransport.CloseIdleConnections()
	s.crashGuard.transport.CloseIdleConnections()
}

// Drain makes the server close each connection after the next response.
func (s *Server) Drain() { s.draining.Store(true) }

// Receive handles a message from another node and reports whether it is for the
// data plane. It does not block.
func (s *Server) Receive(m message.Message) bool {
	switch m := m.(type) {
	case *message.CrashReport:
		s.crashGuard.handleReport(time.Now(), m)
	case *message.CrashAck:
		s.crashGuard.reports.Acknowledge(m.ID, m.VM)
	default:
		return false
	}
	return true
}

// Load returns the number of running and of waiting calls of the upstream.
func (s *Server) Load() (running, waiting int) { return s.limiter.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	if r.Header.Get(call.HeaderTarget) != "" {
		p := relay.NewProgressWriter(w, progressInterval)
		defer p.Stop()
		p.Header().Set(call.HeaderCall, r.Header.Get(call.HeaderCall))
		w = p
	}
	x := &exchange{w: w, r: r, runCtx: r.Context()}
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == call.KeysPath {
		s.finish(start, w, x, s.issueKey(start, x))
		return
	}
	err := s.readCall(start, x)
	if err == nil {
		stopWatch := x.watchCaller()
		defer stopWatch()
		err = s.dispatch(x)
	}
	s.finish(start, w, x, err)
}

// dispatch checks that the call is for this VM and selects how to serve it.
func (s *Server) dispatch(x *exchange) error {
	target := x.r.Header.Get(call.HeaderTarget)
	if self := s.control.Self(); target != "" && target != self.VM {
		return call.NewProblem(call.ProblemTargetMismatch, call.RanNo, "this node runs on VM "+self.VM, nil)
	}
	switch {
	case !x.call.Route.Idempotent:
		return s.serveKeyed(x)
	case target != "":
		return s.serveLocal(x)
	}
	return s.serveWithRetries(x)
}

// resolveSnapshot checks that the node is ready and sets the snapshot that the
// request is served under. It returns the version that the request requires.
// Errors are of type *call.Problem.
func (s *Server) resolveSnapshot(now time.Time, x *exchange) (snapshot.ID, error) {
	if !s.control.Ready(now) {
		return snapshot.ID{}, call.NewProblem(call.ProblemNotReady, call.RanNo, "", nil)
	}
	required, err := call.ParseVersion(x.r.Header)
	if err != nil {
		return snapshot.ID{}, err
	}
	x.snap, err = s.snapshotFor(x.r.Context(), required)
	return required, err
}

// readCall resolves the snapshot and reads the call and its body.
func (s *Server) readCall(now time.Time, x *exchange) error {
	required, err := s.resolveSnapshot(now, x)
	if err != nil {
		return err
	}
	c, err := call.Parse(now, x.r, x.snap.Document)
	if err != nil {
		return err
	}
	x.call = c
	c.Version = required
	if c.Route.Idempotent {
		c.Caller = disconnect.FromContext(x.r.Context())
	}
	s.cfg.Invariants.Check(!x.snap.ID.Less(required), "served-version", "serving %s, required %s", x.snap.ID, required)
	if err = x.readBody(); err != nil {
		return err
	}
	if !x.body.Complete {
		relay.AllowReadDuringResponse(x.w)
	}
	return nil
}
