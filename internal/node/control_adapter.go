package node

import (
	"github.com/filbertpier/filbertpier/internal/control"
	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/internal/runtime"
	"github.com/filbertpier/filbertpier/snapshot"
)

// controlAdapter implements dataplane.ControlPlane: it answers queries from the
// agent's state and has the runtime send messages.
type controlAdapter struct {
	*control.Agent
	runtime *runtime.Runtime
}

// CatchUp implements dataplane.ControlPlane.
func (c controlAdapter) CatchUp(id snapshot.ID) { c.runtime.CatchUp(id) }

// Send implements dataplane.ControlPlane.
func (c controlAdapter) Send(to member.Member, m message.Message) {
	c.runtime.Send(effect.Send{VM: to.VM, Addr: to.PeerAddr, CrossRegion: to.Region != c.Self().Region, Message: m})
}
