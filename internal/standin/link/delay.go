package link

import (
	"net"
	"time"
)

// Delay returns the one-way delay between the dialling address and the target.
type Delay func(from net.Addr) time.Duration
