package sidecar_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/disconnect"
)

// leaveBound is how long after a caller has left a request of it may still reach an
// upstream, and an upstream may still work on one.
const leaveBound = 500 * time.Millisecond

// bodySizes are those that nodes treat differently: no body, one that is sent with its
// head, one that the node beside the upstream asks for, and one that is not buffered
// whole.
var bodySizes = []int{0, 4_000, 60_000, 1<<20 + 20_000}

// caller is a caller on the VM of a node, with a connection of its own.
type caller struct {
	t    *testing.T
	conn net.Conn
}

func (v *vm) newCaller(t *testing.T) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", v.addr(1))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{t: t, conn: conn}
}

// send sends a request with a body of the given size.
func (c *caller) send(path string, bodyBytes int) {
	c.t.Helper()
	id := strconv.FormatInt(lastAttemptID.Add(1), 10)
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nLeft: 2500\r\nContent-Length: %d\r\n\r\n%s",
		path, id, bodyBytes, strings.Repeat("x", bodyBytes))
	if err != nil {
		c.t.Error(err)
	}
}

// receive reads the head of a response.
func (c *caller) receive() string {
	var head strings.Builder
	one := make([]byte, 1)
	for !strings.HasSuffix(head.String(), "\r\n\r\n") {
		if _, err := io.ReadFull(c.conn, one); err != nil {
			return head.String()
		}
		head.Write(one)
	}
	return head.String()
}

func (c *caller) leave() { _ = c.conn.Close() }

// pathSet is a set of request paths. It is safe for concurrent use.
type pathSet struct {
	mu    sync.Mutex
	paths map[string]bool
}

func newPathSet() *pathSet { return &pathSet{paths: map[string]bool{}} }

func (s *pathSet) add(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paths[path] = true
}

func (s *pathSet) has(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paths[path]
}

// forEachLeavingCaller runs a test for callers of the node beside the upstream and of
// another node, with each size of body, on new and on kept connections.
func forEachLeavingCaller(t *testing.T, test func(t *testing.T, remote bool, size int, kept bool)) {
	for _, remote := range []bool{false, true} {
		for _, size := range bodySizes {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("remote=%t,bytes=%d,kept=%t", remote, size, kept), func(t *testing.T) {
					t.Parallel()
					test(t, remote, size, kept)
				})
			}
		}
	}
}

// startFleet starts an upstream and its node, and another node. It returns the VM whose
// node the callers use: that of the upstream or the other one.
func startFleet(t *testing.T, remote bool, handler http.HandlerFunc) (entry *vm) {
	f := newFleet(t)
	a := f.add("a", "z1", handler).start()
	b := f.add("b", "z1", respondAfter(0)).start()
	for _, v := range f.vms {
		await(t, "the nodes to be ready", v.ready)
		await(t, "the nodes to know the upstream", func() bool { return v.call("GET", "/safe/short").status == http.StatusOK })
	}
	if remote {
		return b
	}
	return a
}

// Guards against sending a request of a caller that left while the call waited for a
// slot, whatever part of its body the node has read.
func TestCallIsNotSentIfItsCallerLeavesWhileItWaits(t *testing.T) {
	forEachLeavingCaller(t, func(t *testing.T, remote bool, size int, kept bool) {
		began, release := newPathSet(), make(chan struct{})
		entry := startFleet(t, remote, func(w http.ResponseWriter, r *http.Request) {
			began.add(r.URL.Path)
			if strings.HasPrefix(r.URL.Path, "/safe/hold") {
				<-release
			}
			_, _ = io.Copy(io.Discard, r.Body)
		})
		leaves, stays := entry.newCaller(t), entry.newCaller(t)
		if kept {
			leaves.send("/safe/first", 0)
			leaves.receive()
		}
		for i := range 4 {
			path := "/safe/hold" + strconv.Itoa(i)
			entry.newCaller(t).send(path, 0)
			await(t, "all slots to be in use", func() bool { return began.has(path) })
		}
		go leaves.send("/safe/left", size)
		go stays.send("/safe/stayed", size)
		time.Sleep(150 * time.Millisecond)
		leaves.leave()
		time.Sleep(leaveBound)
		close(release)
		if got := stays.receive(); !strings.HasPrefix(got, "HTTP/1.1 200") {
			t.Errorf("the caller that stayed got %q, want status 200", got)
		}
		time.Sleep(100 * time.Millisecond)
		if began.has("/safe/left") {
			t.Errorf("a request reached the upstream %s after its caller had left", leaveBound)
		}
	})
}

// Guards against an upstream that goes on working for a caller that has left, whether
// or not the upstream has read the whole body.
func TestUpstreamStopsWorkingIfTheCallerLeaves(t *testing.T) {
	for _, reads := range []bool{true, false} {
		t.Run(fmt.Sprintf("reads=%t", reads), func(t *testing.T) {
			forEachLeavingCaller(t, func(t *testing.T, remote bool, size int, kept bool) {
				began, ended := newPathSet(), newPathSet()
				entry := startFleet(t, remote, func(w http.ResponseWriter, r *http.Request) {
					began.add(r.URL.Path)
					if r.URL.Path != "/safe/left" {
						return
					}
					work, cancel := context.WithCancel(r.Context())
					defer cancel()
					if reads {
						_, _ = io.Copy(io.Discard, r.Body)
					} else if size > 0 {
						defer disconnect.NewWatch(disconnect.FromContext(work), cancel).Stop()
					}
					select {
					case <-work.Done():
						ended.add(r.URL.Path)
					case <-time.After(2 * time.Second):
					}
				})
				leaves := entry.newCaller(t)
				if kept {
					leaves.send("/safe/first", 0)
					leaves.receive()
				}
				go leaves.send("/safe/left", size)
				await(t, "the call to run", func() bool { return began.has("/safe/left") })
				time.Sleep(100 * time.Millisecond)
				leaves.leave()
				time.Sleep(leaveBound)
				if !ended.has("/safe/left") {
					t.Errorf("the upstream still worked %s after the caller had left", leaveBound)
				}
			})
		})
	}
}

// Guards against a body that keeps its place in the queue of the VM's link after its
// caller has left: the link would stay reserved for bytes that never come.
func TestBodyOfCallerThatLeftDoesNotDelayOthers(t *testing.T) {
	const size = 60_000
	// Receiving a body takes 0.33 s at the scheduled 90% of the link's rate.
	const rate, bodyTime = 200_000, 330 * time.Millisecond
	began := newPathSet()
	f := newFleet(t)
	a := f.add("a", "z1", func(_ http.ResponseWriter, r *http.Request) { began.add(r.URL.Path) })
	a.settings.LinkBytesPerSecond = rate
	a.start()
	b := f.add("b", "z1", respondAfter(0)).start()
	for _, v := range f.vms {
		await(t, "the nodes to be ready", v.ready)
	}
	await(t, "the node to know the upstream", func() bool { return b.call("GET", "/safe/x").status == http.StatusOK })
	b.newCaller(t).send("/safe/first", size)
	await(t, "the first body to be received", func() bool { return began.has("/safe/first") })
	leaves, stays := b.newCaller(t), b.newCaller(t)
	leaves.send("/safe/left", size)
	time.Sleep(50 * time.Millisecond)
	leaves.leave()
	time.Sleep(50 * time.Millisecond)
	sentAt := time.Now()
	stays.send("/safe/stayed", size)
	if got := stays.receive(); !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Fatalf("the caller that stayed got %q, want status 200", got)
	}
	if took := time.Since(sentAt); took > bodyTime {
		t.Errorf("the call took %s, want at most %s: the link is free %s after the first body", took, bodyTime, bodyTime)
	}
}

// Guards against a stream that an upstream goes on with after its caller has left in
// the middle of it. The response is above the size that nodes buffer.
func TestStreamEndsIfItsCallerLeavesInItsMiddle(t *testing.T) {
	for _, remote := range []bool{false, true} {
		t.Run(fmt.Sprintf("remote=%t", remote), func(t *testing.T) {
			ended := newPathSet()
			entry := startFleet(t, remote, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/safe/left" {
					return
				}
				_, _ = io.WriteString(w, strings.Repeat("x", 1<<20+20_000))
				_ = http.NewResponseController(w).Flush()
				select {
				case <-r.Context().Done():
					ended.add(r.URL.Path)
				case <-time.After(2 * time.Second):
				}
			})
			leaves := entry.newCaller(t)
			leaves.send("/safe/left", 0)
			if got := leaves.receive(); !strings.HasPrefix(got, "HTTP/1.1 200") {
				t.Fatalf("the response begins with %q, want status 200", got)
			}
			leaves.leave()
			time.Sleep(leaveBound)
			if !ended.has("/safe/left") {
				t.Errorf("the upstream still worked %s after the caller had left", leaveBound)
			}
		})
	}
}
