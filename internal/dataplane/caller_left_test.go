package dataplane_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/testkit/nodes"
)

// Guards against sending an idempotent call whose caller left while it waited for a
// slot, whatever part of its body the node has read.
func TestIdempotentCallIsNotSentIfItsCallerLeavesWhileItWaits(t *testing.T) {
	const slots = 6
	var held, left, stayed atomic.Int64
	release := make(chan struct{})
	spec := clusterSpec("a")
	// With a shorter target the calls would be refused while they wait.
	spec.Sections[0].Raw = bytes.Replace(spec.Sections[0].Raw, []byte(`"targetMs": 250`), []byte(`"targetMs": 4000`), 1)
	c := nodes.Start(t, spec, func(string) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			switch {
			case strings.HasSuffix(r.URL.Path, "/hold"):
				held.Add(1)
				<-release
			case strings.HasSuffix(r.URL.Path, "/left"):
				left.Add(1)
			default:
				stayed.Add(1)
			}
			_, _ = io.Copy(io.Discard, r.Body)
		})
	})
	for range slots {
		sendRaw(t, c.VMs[0], "/recall/hold", 0)
	}
	for deadline := time.Now().Add(10 * time.Second); held.Load() < slots; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d calls run after 10 s, want %d", held.Load(), slots)
		}
	}
	var leaving []net.Conn
	for _, vm := range c.VMs {
		for _, size := range []int{0, 4_000, 80_000} {
			leaving = append(leaving, sendRaw(t, vm, "/recall/left", size))
		}
	}
	stays := sendRaw(t, c.VMs[0], "/recall/stayed", 80_000)
	time.Sleep(100 * time.Millisecond)
	for _, conn := range leaving {
		_ = conn.Close()
	}
	time.Sleep(50 * time.Millisecond)
	close(release)
	if _, err := io.ReadFull(stays, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	if left.Load() != 0 || stayed.Load() != 1 {
		t.Errorf("%d of %d calls of callers that had left were sent, and %d of 1 of a caller that had not", left.Load(), len(leaving), stayed.Load())
	}
}

// sendRaw opens a connection to a node and sends a PUT request with a body of the
// given size, of which the node buffers at most 64 KiB.
func sendRaw(t *testing.T, vm *nodes.VM, path string, bodyBytes int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", vm.Settings.Listen.Calls)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := fmt.Fprintf(conn, "PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, bodyBytes, strings.Repeat("x", bodyBytes)); err != nil {
		t.Fatal(err)
	}
	return conn
}
