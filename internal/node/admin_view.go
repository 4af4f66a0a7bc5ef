package node

import (
	"net"
	"net/http"
	"time"

	"github.com/filbertpier/filbertpier/internal/admin"
	"github.com/filbertpier/filbertpier/internal/listener"
	"github.com/filbertpier/filbertpier/internal/member"
)

// serveAdmin starts the administration API. Its error is a *listener.Error.
func (n *Node) serveAdmin() (*http.Server, error) {
	addr := n.settings.Listen.Admin
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &listener.Error{Addr: addr, Err: err}
	}
	s := admin.NewServer(admin.NewHandler(n, n.metrics.Registry), n.log.Named("admin"))
	go func() { _ = s.Serve(admin.LimitConnections(l)) }()
	return s, nil
}

// Readiness implements admin.Node. A node is ready when it has joined, has a
// version in force and is not leaving.
func (n *Node) Readiness() admin.Readiness {
	r := admin.Readiness{Reasons: []string{}}
	if !n.agent.Ready(time.Now()) {
		r.Reasons = append(r.Reasons, admin.ReasonNotJoined)
	}
	if n.agent.Store().Current() == nil {
		r.Reasons = append(r.Reasons, admin.ReasonNoVersion)
	}
	if n.agent.Self().Status == member.Leaving {
		r.Reasons = append(r.Reasons, admin.ReasonLeaving)
	}
	r.Ready = len(r.Reasons) == 0
	return r
}

// Version implements admin.Node.
func (n *Node) Version() (admin.Version, bool) {
	s := n.agent.Store().Current()
	if s == nil {
		return admin.Version{}, false
	}
	return admin.VersionOf(s), true
}

// Refused implements admin.Node.
func (n *Node) Refused() []admin.RefusedVersion {
	return admin.RefusedVersionsOf(n.agent.RefusedVersions())
}

// Limits implements admin.Node. Without a version in force it holds only the
// VM id and the current load.
func (n *Node) Limits() admin.Limits {
	var l admin.Limits
	if s := n.agent.Store().Current(); s != nil {
		l = admin.LimitsOf(s.Document, n.settings.Service)
	} else {
		l = admin.LimitsOf(nil, n.settings.Service)
	}
	l.VM = n.settings.VM
	l.Running, l.Waiting = n.dataPlane.Load()
	return l
}

// Neighbours implements admin.Node. It returns the VM ids of the members that
// this node monitors.
func (n *Node) Neighbours() []string {
	out := []string{}
	for _, m := range n.agent.MonitoredMembers(time.Now()) {
		out = append(out, m.VM)
	}
	return out
}
