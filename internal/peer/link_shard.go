package peer

import "sync"

// linkShard holds part of the outgoing connections.
type linkShard struct {
	// mu guards links.
	mu    sync.Mutex
	links map[linkKey]*link
}
