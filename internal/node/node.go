package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/filbertpier/filbertpier/internal/admin"
	"github.com/filbertpier/filbertpier/internal/control"
	"github.com/filbertpier/filbertpier/internal/dataplane"
	"github.com/filbertpier/filbertpier/internal/listener"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/internal/peer"
	"github.com/filbertpier/filbertpier/internal/platform"
	"github.com/filbertpier/filbertpier/internal/runtime"
	"github.com/filbertpier/filbertpier/internal/settings"
	"github.com/filbertpier/filbertpier/internal/telemetry"
	"github.com/filbertpier/filbertpier/snapshot"
)

const (
	// headerTimeout bounds how long a client may take to send a header.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds the header of a call.
	maxHeaderBytes = 64 << 10
	// defaultDrain is the default of settings.Node.DrainMs.
	defaultDrain = 30 * time.Second
	// leaveNotice is how long a stopping node keeps accepting calls after it
	// has announced that it leaves, so that senders learn of it first.
	leaveNotice = time.Second
	// spareGrace is how long a stopping node waits for the first request on a
	// new connection.
	spareGrace = 500 * time.Millisecond
)

// Node is a running node. Its methods are safe for concurrent use.
type Node struct {
	settings   *settings.Node
	log        hclog.Logger
	metrics    *telemetry.Metrics
	invariants *telemetry.Invariants
	agent      *control.Agent
	runtime    *runtime.Runtime
	transport  *peer.Transport
	server     *dataplane.Server
	listener   *callListener
	finishing  sync.Once
	conns      *connTracker
	calls      *http.Server
	admin      *http.Server
}

// Start starts a node. It returns a *settings.InvalidError or a
// *listener.Error.
func Start(s *settings.Node, log hclog.Logger) (*Node, error) {
	keys, err := s.Keys.KeyRing()
	if err != nil {
		return nil, err
	}
	n := &Node{settings: s, log: log, metrics: telemetry.NewMetrics(), conns: newConnTracker()}
	n.invariants = telemetry.NewInvariants(n.metrics, s.FatalInvariants)
	boot := uint64(time.Now().UnixMilli())
	n.agent = control.New(control.Config{
		Self: member.Member{
			VM: s.VM, Zone: s.Zone, Region: s.Region, Service: s.Service,
			PeerAddr: s.PeerAddr(), CallAddr: s.CallAddr(),
			Boot: boot, ChangedAt: int64(boot),
		},
		Keys:           keys,
		Seeds:          s.Seeds,
		PlatformRegion: s.Platform.Region,
		JoinTimeout:    time.Duration(s.JoinTimeoutMs) * time.Millisecond,
		Invariants:     n.invariants,
		Seed:           boot,
	}, snapshot.NewStore())
	n.runtime = runtime.New(n.agent, platform.NewHTTPClient(s.Platform.URL), log.Named("control"), n.metrics)
	n.server = dataplane.NewServer(dataplane.Config{
		UpstreamAddr: n.settings.Upstream,
		LocalIP:      n.settings.LocalIP(),
		Metrics:      n.metrics,
		Decisions:    telemetry.NewDecisionLog(n.log.Named("call"), n.metrics, n.settings.Log.DecisionsEvery),
		Invariants:   n.invariants,
	}, controlAdapter{n.agent, n.runtime})
	if n.transport, err = peer.Listen(s.Listen.Peers, s.LocalIP(), n.metrics, n.receive); err != nil {
		return nil, err
	}
	if err := n.listen(); err != nil {
		n.transport.Close()
		return nil, err
	}
	n.runtime.Start(n.transport)
	return n, nil
}

// receive passes a message from a peer to the part that it is for.
func (n *Node) receive(m message.Message) {
	if !n.server.Receive(m) {
		n.runtime.Receive(m)
	}
}

func (n *Node) listen() error {
	var err error
	if n.listener, err = listen(n.settings.Listen.Calls); err != nil {
		return err
	}
	n.calls = serve(n.listener, n.server, n.conns.note)
	if n.admin, err = n.serveAdmin(); err != nil {
		n.listener.finish()
		_ = n.calls.Close()
		return err
	}
	return nil
}

func listen(addr string) (*callListener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &listener.Error{Addr: addr, Err: err}
	}
	return newCallListener(l.(*net.TCPListener)), nil
}

func serve(l net.Listener, h http.Handler, state func(net.Conn, http.ConnState)) *http.Server {
	s := &http.Server{Handler: h, ConnState: state, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	go func() { _ = s.Serve(l) }()
	return s
}

// Stop announces that the node leaves, lets calls in flight finish within the
// drain time and ends the node. Calls that arrive during the notice are served,
// and their connections are closed after the answer, so that few callers still
// hold a connection when the listener closes.
func (n *Node) Stop() {
	n.server.Drain()
	n.runtime.Leave()
	notice := time.NewTimer(leaveNotice)
	<-notice.C
	drain := time.Duration(n.settings.DrainMs) * time.Millisecond
	if drain == 0 {
		drain = defaultDrain
	}
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	n.finishing.Do(n.listener.finish)
	n.calls.SetKeepAlivesEnabled(false)
	n.conns.wait(ctx, spareGrace)
	n.Close()
}

// Close ends the node at once, with the calls in flight.
func (n *Node) Close() {
	n.finishing.Do(n.listener.finish)
	_ = n.calls.Close()
	n.server.Close()
	_ = n.admin.Close()
	n.runtime.Stop()
	n.transport.Close()
}

// Status implements admin.Node.
func (n *Node) Status() admin.Status {
	now := time.Now()
	self := n.agent.Self()
	running, waiting := n.server.Load()
	s := admin.Status{
		VM: self.VM, Zone: self.Zone, Region: self.Region, Service: self.Service,
		Ready: n.agent.Ready(now), Version: n.agent.Store().CurrentID(), PlatformAgeMs: -1,
		Members: len(n.agent.Table().View(now).All()), Running: running, Waiting: waiting,
		Violations: n.invariants.Count(), Refused: map[string]string{},
	}
	if age, ok := n.agent.PlatformReadAge(now); ok {
		s.PlatformAgeMs = age.Milliseconds()
	}
	for id, err := range n.agent.RefusedVersions() {
		s.Refused[id.String()] = err.Error()
	}
	return s
}

// Members implements admin.Node.
func (n *Node) Members() []member.Member { return n.agent.Table().All() }

// SetLogLevel implements admin.Node.
func (n *Node) SetLogLevel(level string) bool {
	l := hclog.LevelFromString(level)
	if l == hclog.NoLevel {
		return false
	}
	n.log.SetLevel(l)
	return true
}
