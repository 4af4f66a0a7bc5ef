package peer

import "sync"

// linkShard holds the links of a part of the addresses.
type linkShard struct {
	// mu guards links.
	mu    sync.Mutex
	links map[linkKey]*link
}
