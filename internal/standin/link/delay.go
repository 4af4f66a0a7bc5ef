package link

import (
	"net"
	"time"
)

// Delay returns the one-way delay between the address of the connecting side
// and the target.
type Delay func(from net.Addr) time.Duration
