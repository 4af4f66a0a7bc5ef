package sidecar

import (
	"github.com/filbertpier/filbertpier/internal/feed"
	"github.com/filbertpier/filbertpier/internal/mesh"
	"github.com/filbertpier/filbertpier/internal/replica"
)

// Adapter is what a platform supplies.
type Adapter struct {
	HeaderNames mesh.HeaderNames
	Source      replica.Source
	Decoder     feed.Decoder
	// ReadyPath and MetricsPath are the paths of the node's own endpoints.
	ReadyPath, MetricsPath string
}
