package mesh

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/httpconn"
)

// Guards against calling a timeout a broken connection, which sends on-call
// engineers to the network: incident inc-f246 showed 1,000 ms waits that were
// logged as connection-broke and answered 502.
func TestConnectionTimeoutIsReportedAsDeadline(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	err := &httpconn.BrokenError{Addr: "a", Err: os.ErrDeadlineExceeded}
	if got := brokenReason(ctx, err); got != ReasonDeadline {
		t.Errorf("got %s", got)
	}
}

// Guards against microseconds that read as seconds in the log of another node.
func TestHeaderSafeKeepsMicroseconds(t *testing.T) {
	if got := strings.Map(headerSafe, "842.377µs\n"); got != "842.377us" {
		t.Errorf("got %q", got)
	}
}
