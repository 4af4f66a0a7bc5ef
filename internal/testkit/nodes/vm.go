package nodes

import (
	"net/http"

	"github.com/filbertpier/filbertpier/internal/node"
	"github.com/filbertpier/filbertpier/internal/settings"
	"github.com/filbertpier/filbertpier/internal/standin/link"
)

// VM is one VM of a cluster: a node and its upstream.
type VM struct {
	Settings settings.Node
	Node     *node.Node
	// Link is nil unless the spec asks for links.
	Link     *link.Forwarder
	upstream *http.Server
}

// URL returns the base URL of the node's own call port.
func (v *VM) URL() string { return "http://" + v.Settings.Listen.Calls }
