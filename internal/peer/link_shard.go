package peer

import "sync"

// linkShard holds the links whose addresses hash to it.
type linkShard struct {
	// mu guards links.
	mu    sync.Mutex
	links map[linkKey]*link
}
