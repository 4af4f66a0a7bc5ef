package mesh

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/httpconn"
)

// Guards against reporting a timeout as a broken connection, which points
// on-call engineers to the network: in incident inc-f246, waits of 1,000 ms
// were logged as connection-broke and answered with 502.
func TestConnectionTimeoutIsReportedAsDeadline(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	err := &httpconn.BrokenError{Addr: "a", Err: os.ErrDeadlineExceeded}
	if got := brokenReason(ctx, err); got != ReasonDeadline {
		t.Errorf("got %s, want %s", got, ReasonDeadline)
	}
}

// Guards against dropping the micro sign from durations, so that microseconds
// read as seconds in the log of another node.
func TestHeaderSafeKeepsMicroseconds(t *testing.T) {
	if got := strings.Map(headerSafe, "842.377µs\n"); got != "842.377us" {
		t.Errorf("got %q, want 842.377us", got)
	}
}
