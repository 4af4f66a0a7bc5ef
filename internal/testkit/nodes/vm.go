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
	// Link forwards connections to the node's call port; nil unless Spec.Links is
	// set.
	Link     *link.Forwarder
	upstream *http.Server
}

// URL returns the base URL of the node's call port. Requests to it bypass Link.
func (v *VM) URL() string { return "http://" + v.Settings.Listen.Calls }
