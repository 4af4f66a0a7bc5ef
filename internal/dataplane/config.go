package dataplane

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/once"
	"github.com/filbertpier/filbertpier/internal/telemetry"
)

// Config configures a Server. All fields are required unless stated.
type Config struct {
	// UpstreamAddr is the address of the upstream on the VM, ip:port.
	UpstreamAddr string
	// LocalIP is the address that outgoing connections use; empty lets the
	// system choose.
	LocalIP string
	// CatchUpTimeout bounds how long a call waits for the configuration version
	// that it requires. A longer timeout rejects fewer calls right after a
	// change but rejects them later. Zero means 500 ms.
	CatchUpTimeout time.Duration
	// Keys limits the table of idempotency keys; zero fields take defaults.
	Keys       once.Config
	Metrics    *telemetry.Metrics
	Decisions  *telemetry.DecisionLog
	Invariants *telemetry.Invariants
}
