package peers_test

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/replica"
	"github.com/filbertpier/filbertpier/internal/replica/peers"
	"github.com/filbertpier/filbertpier/internal/revision"
	"github.com/filbertpier/filbertpier/internal/testkit/endless"
)

// maxHeapGrowth is half of memory_mb of a machine, which has to hold all else besides.
const maxHeapGrowth = 142 << 20

// readDeadline is long enough for a busy machine to read up to the limit.
const readDeadline = 2 * time.Minute

// endlessMessages are the beginnings of JSON-RPC messages that do not end, each with
// the bytes that follow without end.
var endlessMessages = map[string]struct{ first, chunk string }{
	"no message":     {"", "x"},
	"header line":    {"Content-Length: ", "1"},
	"header lines":   {"", "A: b\r\n"},
	"blanks in body": {"Content-Length: 4000000000\r\n\r\n{", " "},
	"string in body": {"Content-Length: 4000000000\r\n\r\n{\"jsonrpc\":\"2.0\",\"id\":0,\"result\":\"", "x"},
	"items in body": {"Content-Length: 4000000000\r\n\r\n{\"jsonrpc\":\"2.0\",\"id\":0,\"result\":{\"items\":[",
		`{"key":"k","value":"` + strings.Repeat("QUFB", 1000) + `","revision":1},`},
	"blanks after a message": {"Content-Length: 24\r\n\r\n{\"jsonrpc\":\"2.0\",\"id\":9} ", " "},
}

// Guards against keeping what another node sends without end on a control connection,
// in place of a response.
func TestEndlessResponseOfANodeIsALostRead(t *testing.T) {
	for name, message := range endlessMessages {
		reads := map[string]func(ctx context.Context, c *peers.Client, addr string) error{
			"fetch": func(ctx context.Context, c *peers.Client, addr string) error {
				_, err := c.Fetch(ctx, addr, revision.Revision{Number: 1})
				return err
			},
			"follow": func(ctx context.Context, c *peers.Client, addr string) error {
				_, err := c.Follow(ctx, addr, replica.FollowRequest{AfterRevision: revision.Revision{Number: 1}, Wait: time.Second})
				return err
			},
			"call": func(ctx context.Context, _ *peers.Client, addr string) error {
				var result []string
				return peers.Call(ctx, addr, "method", struct{}{}, &result)
			},
		}
		for read, do := range reads {
			t.Run(name+", "+read, func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = l.Close() }()
				go writeEndless(l, message.first, message.chunk)
				grown := endless.PeakHeap(t, func(ctx context.Context) {
					ctx, cancel := context.WithTimeout(ctx, readDeadline)
					defer cancel()
					err = do(ctx, &peers.Client{}, l.Addr().String())
				})
				var fetch *peers.CallError
				if !errors.As(err, &fetch) || errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("got %v, want a *CallError before the deadline", err)
				}
				if grown > maxHeapGrowth {
					t.Errorf("the heap grew by %d bytes, want at most %d", grown, maxHeapGrowth)
				}
			})
		}
	}
}

// writeEndless reads the beginning of a request on each connection and answers it
// without end.
func writeEndless(l net.Listener, first, chunk string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			if _, err := c.Read(make([]byte, 1)); err == nil {
				endless.Write(c, first, chunk)
			}
		}()
	}
}

// Guards against keeping what another process sends without end to the control port. A
// node that fetches meanwhile is served.
func TestEndlessRequestsToANodeAreNotKept(t *testing.T) {
	const connections = 24
	for name, message := range endlessMessages {
		t.Run(name, func(t *testing.T) {
			reader := replica.NewReader(replica.Config{}, replica.NewTable(func([]replica.Item) {}))
			server, err := peers.Listen("127.0.0.1:0", replica.NewPublisher(reader), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			grown := endless.PeakHeap(t, func(ctx context.Context) {
				pressServer(ctx, t, server.Addr(), connections, message.first, message.chunk)
			})
			if grown > maxHeapGrowth {
				t.Errorf("the heap grew by %d bytes, want at most %d", grown, maxHeapGrowth)
			}
		})
	}
}

// pressServer writes without end on some connections for a second and fetches meanwhile.
func pressServer(ctx context.Context, t *testing.T, addr string, connections int, first, chunk string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	for range connections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Error(err)
			return
		}
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		defer stop()
		go endless.Write(c, first, chunk)
	}
	for ctx.Err() == nil {
		if _, err := (&peers.Client{}).Fetch(t.Context(), addr, revision.Revision{}); err != nil {
			t.Errorf("a fetch meanwhile: %v", err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against a limit that refuses the longest true response: all items of a fleet of
// 7,300 servers and a configuration of 1 MiB that does not compress.
func TestLongestTrueResponseOfANodePasses(t *testing.T) {
	const servers = 7300
	table := replica.NewTable(func([]replica.Item) {})
	page := replica.Page{Complete: true, Revision: revision.Revision{Number: 1}}
	value := make([]byte, 1<<20)
	_, _ = rand.Read(value)
	page.Items = append(page.Items, replica.Item{Key: "config", Value: value, Revision: revision.Revision{Number: 1}})
	for i := range servers {
		page.Items = append(page.Items, replica.Item{Key: fmt.Sprintf("servers/i-%010d", i), Value: value[i : i+400], Revision: revision.Revision{Number: 1}})
	}
	table.Merge(page)
	server, err := peers.Listen("127.0.0.1:0", replica.NewPublisher(replica.NewReader(replica.Config{}, table)), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	got, err := (&peers.Client{}).Fetch(t.Context(), server.Addr(), revision.Revision{})
	if err != nil || len(got.Items) != servers+1 {
		t.Errorf("got %d items and %v, want %d", len(got.Items), err, servers+1)
	}
}
