package sidecar

import (
	"github.com/filbertpier/filbertpier/internal/feed"
	"github.com/filbertpier/filbertpier/internal/mesh"
	"github.com/filbertpier/filbertpier/internal/replica"
)

// Adapter holds the parts of a node that depend on the platform: header names,
// the source and format of the published items, and endpoint paths.
type Adapter struct {
	HeaderNames mesh.HeaderNames
	Source      replica.Source
	Decoder     feed.Decoder
	// ReadyPath and MetricsPath are the paths of the readiness check and of the
	// Prometheus metrics, each on a port of its own.
	ReadyPath, MetricsPath string
}
