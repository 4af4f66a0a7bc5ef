package link

import (
	"net"
	"time"
)

// Delay returns the one-way delay between a client that connects from the given
// address and the target.
type Delay func(from net.Addr) time.Duration
