package node

import (
	"github.com/filbertpier/filbertpier/internal/control"
	"github.com/filbertpier/filbertpier/internal/runtime"
	"github.com/filbertpier/filbertpier/snapshot"
)

// controlAdapter implements dataplane.Control.
type controlAdapter struct {
	*control.Agent
	runtime *runtime.Runtime
}

// CatchUp implements dataplane.Control.
func (c controlAdapter) CatchUp(id snapshot.ID) { c.runtime.CatchUp(id) }
