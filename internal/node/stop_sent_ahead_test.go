package node_test

import (
	"bufio"
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

// Guards against a planned stop that ends a connection without the responses to calls
// sent ahead on it which an upstream has run.
func TestStopAnswersAllCallsSentAheadThatRan(t *testing.T) {
	var ran atomic.Int64
	c := nodes.Start(t, clusterSpec("a"), func(service string) http.Handler {
		echo := echoHandler(service)
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ran.Add(1)
			echo.ServeHTTP(w, r)
		})
	})
	v := c.VMs[0]
	conn, err := net.Dial("tcp", strings.TrimPrefix(v.URL(), "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	for _, work := range []string{"2500ms", "10ms", "10ms"} {
		_, _ = fmt.Fprintf(conn, "GET /recall?work=%s HTTP/1.1\r\nHost: h\r\n\r\n", work)
	}
	c.Await("the first call to run", func() bool { return ran.Load() > 0 })
	v.Node.Stop()
	answered := int64(0)
	for r := bufio.NewReader(conn); ; answered++ {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			break
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("response %d: status %d, error %v, want a complete one with status 200", answered, resp.StatusCode, err)
		}
	}
	if n := ran.Load(); answered < n {
		t.Errorf("%d of %d calls that ran were answered", answered, n)
	}
}
