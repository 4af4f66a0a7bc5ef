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
	"github.com/filbertpier/filbertpier/internal/intake"
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
	// headerTimeout is how long a client may take to send the request header.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes is the size limit of a call's request header.
	maxHeaderBytes = 64 << 10
	// defaultDrainTime is used when settings.Node.DrainMs is 0.
	defaultDrainTime = 30 * time.Second
	// leaveDelay is how long a stopping node keeps accepting calls after it has
	// announced that it leaves, so that other nodes stop sending calls first.
	leaveDelay = time.Second
	// firstRequestTimeout is how long a stopping node waits for the first
	// request on a new connection.
	firstRequestTimeout = 500 * time.Millisecond
)

// Node holds the control plane, the data plane and the listeners of a running
// node. Its methods are safe for concurrent use.
type Node struct {
	settings   *settings.Node
	log        hclog.Logger
	metrics    *telemetry.Metrics
	invariants *telemetry.Invariants
	agent      *control.Agent
	runtime    *runtime.Runtime
	transport  *peer.Transport
	dataPlane  *dataplane.Server
	listener   *callListener
	// shutdownOnce guards listener.shutdown.
	shutdownOnce sync.Once
	conns        *listener.ConnTracker
	callServer   *http.Server
	// guard bounds what clients make the process hold; stopGuard ends its Run.
	guard       *intake.Guard
	stopGuard   context.CancelFunc
	adminServer *http.Server
}

// Start opens the node's ports and begins to join the fleet. Its errors are
// *settings.InvalidError and *listener.Error.
func Start(s *settings.Node, log hclog.Logger) (*Node, error) {
	keys, err := s.Keys.KeyRing()
	if err != nil {
		return nil, err
	}
	n := &Node{settings: s, log: log, metrics: telemetry.NewMetrics(), conns: listener.NewConnTracker()}
	n.guard = intake.NewGuard(intake.Options{
		MemoryBytes: s.MemoryBytes, MaxDescriptors: s.MaxDescriptors, Metrics: intake.NewMetrics(n.metrics.Registry), Log: log.Named("intake"),
	})
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
	n.dataPlane = dataplane.NewServer(dataplane.Config{
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
	ctx, cancel := context.WithCancel(context.Background())
	n.stopGuard = cancel
	go n.guard.Run(ctx)
	return n, nil
}

// receive passes a message from a peer to the data plane, or to the control
// plane if the data plane does not handle its type.
func (n *Node) receive(m message.Message) {
	if !n.dataPlane.Receive(m) {
		n.runtime.Receive(m)
	}
}

func (n *Node) listen() error {
	var err error
	if n.listener, err = listen(n.settings.Listen.Calls); err != nil {
		return err
	}
	n.callServer = serve(n.guard.Listener(n.listener, intake.ClassCaller), n.guard.Handler(n.dataPlane), n.conns.SetState)
	if n.adminServer, err = n.serveAdmin(); err != nil {
		n.listener.shutdown()
		_ = n.callServer.Close()
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

func serve(l net.Listener, h http.Handler, onConnState func(net.Conn, http.ConnState)) *http.Server {
	s := &http.Server{Handler: h, ConnState: onConnState, ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnContext: listener.ConnContext}
	go func() { _ = s.Serve(l) }()
	return s
}

// Stop announces that the node leaves, lets calls in flight finish within the
// drain time and closes the node. Calls that arrive during leaveDelay are served
// and their connections are closed after the response, so that few callers
// still hold a connection when the listener closes.
func (n *Node) Stop() {
	n.dataPlane.Drain()
	n.runtime.Leave()
	timer := time.NewTimer(leaveDelay)
	<-timer.C
	drain := time.Duration(n.settings.DrainMs) * time.Millisecond
	if drain == 0 {
		drain = defaultDrainTime
	}
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	n.shutdownOnce.Do(n.listener.shutdown)
	n.callServer.SetKeepAlivesEnabled(false)
	n.conns.WaitIdle(ctx, firstRequestTimeout)
	n.Close()
}

// Close stops the node at once and aborts the calls in flight.
func (n *Node) Close() {
	n.shutdownOnce.Do(n.listener.shutdown)
	n.stopGuard()
	_ = n.callServer.Close()
	n.dataPlane.Close()
	_ = n.adminServer.Close()
	n.runtime.Stop()
	n.transport.Close()
}

// Status implements admin.Node. PlatformAgeMs is the time since the last
// successful platform read by any node, as far as known, or -1.
func (n *Node) Status() admin.Status {
	now := time.Now()
	self := n.agent.Self()
	running, waiting := n.dataPlane.Load()
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

// Members implements admin.Node. It returns all records of the member
// table, whatever their status.
func (n *Node) Members() []member.Member { return n.agent.Table().All() }

// SetLogLevel implements admin.Node. It returns false for an unknown level.
func (n *Node) SetLogLevel(level string) bool {
	l := hclog.LevelFromString(level)
	if l == hclog.NoLevel {
		return false
	}
	n.log.SetLevel(l)
	return true
}
