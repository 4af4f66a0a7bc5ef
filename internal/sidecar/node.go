package sidecar

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/filbertpier/filbertpier/internal/feed"
	"github.com/filbertpier/filbertpier/internal/instance"
	"github.com/filbertpier/filbertpier/internal/intake"
	"github.com/filbertpier/filbertpier/internal/listener"
	"github.com/filbertpier/filbertpier/internal/mesh"
	"github.com/filbertpier/filbertpier/internal/pipeline"
	"github.com/filbertpier/filbertpier/internal/quarantine"
	"github.com/filbertpier/filbertpier/internal/quarantine/reports"
	"github.com/filbertpier/filbertpier/internal/replica"
	"github.com/filbertpier/filbertpier/internal/replica/peers"
	"github.com/filbertpier/filbertpier/internal/revision"
	"github.com/filbertpier/filbertpier/internal/settings"
	"github.com/filbertpier/filbertpier/snapshot"
)

// Node holds the reader of the published items, the call server and the
// listeners of a running node. Its methods are safe for concurrent use.
type Node struct {
	settings *settings.Sidecar
	log      hclog.Logger
	server   *mesh.Server
	reader   *replica.Reader
	// peerServer lets other nodes read the published items from this node.
	peerServer *peers.Server
	conns      *listener.ConnTracker
	// guard bounds what clients make the process hold.
	guard   *intake.Guard
	cuts    *cutObserver
	servers []*http.Server
	cancel  context.CancelFunc
}

// Start opens the node's ports and begins to read the published items. Its
// errors are *listener.Error and *peers.CodecError.
func Start(s *settings.Sidecar, a Adapter, log hclog.Logger) (*Node, error) {
	n := &Node{settings: s, log: log, conns: listener.NewConnTracker()}
	registry := prometheus.NewRegistry()
	n.guard = intake.NewGuard(intake.Options{
		MemoryBytes: s.MemoryBytes, MaxDescriptors: s.MaxDescriptors, Metrics: intake.NewMetrics(registry), Log: log.Named("intake"),
	})
	n.cuts = newCutObserver(log.Named("pipeline"), registry)
	store, directory, guard := snapshot.NewStore(), instance.NewDirectory(), quarantine.NewGuard()
	applier := feed.NewApplier(a.Decoder, store, directory, log.Named("feed"))
	table := replica.NewTable(applier.Apply)
	client := &peers.Client{
		Directory: directory, Seeds: s.Seeds, Port: port(s.Listen.Control), Self: s.Listen.Control, Region: s.Region,
	}
	n.reader = replica.NewReader(replica.Config{
		Source: a.Source, Peers: client, Observer: newObserver(log.Named("feed"), registry),
		TreePosition: client.TreePosition,
	}, table)
	applier.Unstable = n.reader.Unstable
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "filbertpier", Name: "replica_confirmed_age_seconds",
		Help: "Time since the last successful read of the published items.",
	}, func() float64 { return n.reader.ConfirmedAge(time.Now()).Seconds() }))
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "filbertpier", Name: "evacuated_zones",
		Help: "Availability zones whose upstreams get no calls at the operator's request.",
	}, func() float64 { return float64(directory.EvacuatedZones()) }))
	n.server = mesh.NewServer(mesh.Config{
		HeaderNames: a.HeaderNames, Zone: s.Zone, Region: s.Region, Service: s.Service,
		UpstreamAddr: s.Upstream, PeerPort: port(s.Listen.Nodes), LocalIP: s.LocalIP,
		LinkBytesPerSecond: s.LinkBytesPerSecond,
		Store:              store, Directory: directory, Revision: table.Revision,
		ObservePeerRevision: func(host string, at revision.Revision) { n.reader.ObservePeerRevision(client.ControlAddr(host), at) },
		Quarantine:          guard,
		Crashes:             reports.NewSender(func() []string { return client.ServicePeers(s.Service) }),
		Log:                 log.Named("call"), Metrics: mesh.NewMetrics(registry),
	})
	if err := n.listen(a, registry, reports.NewReceiver(guard.Table)); err != nil {
		n.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go n.reader.Run(ctx)
	go n.server.Run(ctx)
	go n.guard.Run(ctx)
	return n, nil
}

// listen opens the ports for other nodes, for callers, for the readiness check
// and, if set, for metrics.
func (n *Node) listen(a Adapter, registry *prometheus.Registry, crashes *reports.Receiver) error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+a.ReadyPath, n.serveReady)
	metrics := http.NewServeMux()
	metrics.Handle("GET "+a.MetricsPath, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	var err error
	if n.peerServer, err = peers.Listen(n.settings.Listen.Control, replica.NewPublisher(n.reader), crashes.Methods()); err != nil {
		return err
	}
	l := n.settings.Listen
	if err := n.serve(l.Nodes, n.server.PeerHandler(), intake.ClassNode, mesh.PeerIdleTimeout); err != nil {
		return err
	}
	if err := n.serve(l.Callers, n.server.CallerHandler(), intake.ClassCaller, mesh.CallerIdleTimeout); err != nil {
		return err
	}
	if l.Metrics != "" {
		if err := n.serve(l.Metrics, metrics, intake.ClassOperator, mesh.CallerIdleTimeout); err != nil {
			return err
		}
	}
	return n.serve(l.Ready, ready, intake.ClassOperator, mesh.CallerIdleTimeout)
}

func (n *Node) serve(addr string, h http.Handler, clients intake.Class, idleTimeout time.Duration) error {
	l, err := listenConfig.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return &listener.Error{Addr: addr, Err: err}
	}
	if clients == intake.ClassCaller {
		l = pipeline.NewListener(l, n.cuts.observe)
	}
	s := &http.Server{
		Addr: addr, Handler: n.guard.Handler(h), ConnContext: listener.ConnContext, ConnState: n.setConnState, IdleTimeout: idleTimeout, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes(clients),
		ErrorLog: n.log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	n.servers = append(n.servers, s)
	go func() { _ = s.Serve(n.guard.Listener(l, clients)) }()
	return nil
}

// setConnState records the state of a connection, for http.Server.ConnState.
func (n *Node) setConnState(c net.Conn, state http.ConnState) {
	pipeline.ConnState(c, state)
	n.conns.SetState(c, state)
}

// maxOperatorHeaderBytes bounds the head of a readiness check or a request for metrics,
// which has few header fields.
const maxOperatorHeaderBytes = 16 << 10

func maxHeaderBytes(clients intake.Class) int {
	if clients == intake.ClassOperator {
		return maxOperatorHeaderBytes
	}
	return mesh.MaxHeaderBytes
}

// listenConfig disables TCP keep-alive probes: the server's idle timeout closes
// the connections of vanished clients, and enabling the probes costs four
// system calls per connection.
var listenConfig = net.ListenConfig{KeepAlive: -1}

// headerTimeout is how long a client may take to send the request header.
const headerTimeout = 10 * time.Second

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.server.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Close stops the node at once and aborts the calls in flight.
func (n *Node) Close() {
	if n.cancel != nil {
		n.cancel()
	}
	if n.peerServer != nil {
		n.peerServer.Close()
	}
	for _, s := range n.servers {
		_ = s.Close()
	}
}

func port(addr string) string {
	_, p, _ := net.SplitHostPort(addr)
	return p
}
