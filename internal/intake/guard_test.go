package intake

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
)

func newTestGuard(memory, connections int64) *Guard {
	g := NewGuard(Options{Metrics: NewMetrics(prometheus.NewRegistry()), Log: hclog.NewNullLogger()})
	g.memory.limit, g.connections.limit = memory, connections
	return g
}

// accept returns a guarded connection of a class and the client's end of it.
func accept(t *testing.T, g *Guard, class Class) (*Conn, net.Conn) {
	t.Helper()
	client, server := net.Pipe()
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return g.admit(server, class), client
}

// Guards against callers that take the room of other nodes and of operators.
func TestClassesKeepRoomFromEachOther(t *testing.T) {
	g := newTestGuard(1000, 100)
	caller, _ := accept(t, g, ClassCaller)
	if err := caller.Charge(800); err != nil {
		t.Fatal(err)
	}
	var refused *RefusedError
	if err := caller.Charge(1); !errors.As(err, &refused) {
		t.Errorf("a caller above its share got error %v, want a RefusedError", err)
	}
	for _, class := range []Class{ClassNode, ClassOperator} {
		c, _ := accept(t, g, class)
		if err := c.Charge(100); err != nil {
			t.Errorf("%s: got error %v, want room that callers cannot take", class, err)
		}
	}
	_ = caller.Close()
	other, _ := accept(t, g, ClassCaller)
	if err := other.Charge(500); err != nil {
		t.Errorf("got error %v after the memory was given back", err)
	}
}

// Guards against a client that has stopped and keeps the memory that others need, and
// against taking it from one whose call is running.
func TestStoppedClientMakesRoom(t *testing.T) {
	g := newTestGuard(10_000, 100)
	running, _ := accept(t, g, ClassCaller)
	running.beginCall()
	if err := running.Charge(3000); err != nil {
		t.Fatal(err)
	}
	stopped, client := accept(t, g, ClassCaller)
	go func() { _, _ = io.ReadAll(stopped) }()
	_, _ = io.WriteString(client, "POST / HTTP/1.1\r\n")
	if err := stopped.Charge(3000); err != nil {
		t.Fatal(err)
	}
	newer, _ := accept(t, g, ClassCaller)
	time.Sleep(evictableBehind + 50*time.Millisecond)
	if err := newer.Charge(4000); err != nil {
		t.Errorf("got error %v, want the memory of the client that has stopped", err)
	}
	if err := newer.Charge(4000); err == nil {
		t.Error("the memory of a running call was taken")
	}
	if !stopped.closed.Load() || running.closed.Load() {
		t.Errorf("closed: stopped client %t, running call %t, want only the first", stopped.closed.Load(), running.closed.Load())
	}
}

// Guards against connections that are idle while new ones are refused, and against more
// connections than the limit.
func TestLongestIdleConnectionMakesRoom(t *testing.T) {
	g := newTestGuard(1000, 10)
	var conns []*Conn
	for range 8 {
		c, _ := accept(t, g, ClassCaller)
		conns = append(conns, c)
	}
	if c, _ := accept(t, g, ClassCaller); c != nil {
		t.Error("a connection above the callers' share was accepted")
	}
	for _, c := range conns[:2] {
		go func() { _, _ = io.ReadAll(c) }()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(evictableBehind)
	if c, _ := accept(t, g, ClassCaller); c == nil {
		t.Error("no connection was accepted although others are idle")
	}
	if !conns[0].closed.Load() || conns[1].closed.Load() {
		t.Error("another connection than the one that was idle longest was closed")
	}
}

// Guards against clients that send so slowly that they never count as stopped, and
// against taking one at an acceptable pace for such a client.
func TestProgressIsMeasuredAgainstThePace(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	for name, c := range map[string]struct {
		bytesPerSecond int
		behind         bool
	}{"trickle": {10, true}, "slow line": {2 * minBytesPerSecond, false}} {
		var p progress
		now := start
		for range 60 {
			p.beginRead(now)
			next := now.Add(time.Second)
			p.endRead(now, next, c.bytesPerSecond, true)
			now = next
		}
		p.beginRead(now)
		if got := p.behind(now.Add(time.Second), true) > maxBehind; got != c.behind {
			t.Errorf("%s: behind is %t after a minute, want %t", name, got, c.behind)
		}
		if p.behind(now.Add(time.Hour), false) != 0 {
			t.Errorf("%s: a read that watches for the client's close counts as waiting for it", name)
		}
	}
}

// Guards against heads of many short fields whose memory is not counted.
func TestHeadIsChargedByItsLines(t *testing.T) {
	g := newTestGuard(100_000, 10)
	c, client := accept(t, g, ClassCaller)
	go func() { _, _ = io.WriteString(client, strings.Repeat("a:\r\n", 1000)) }()
	var refused *RefusedError
	buffer := make([]byte, 4096)
	for range 10 {
		if _, err := c.Read(buffer); errors.As(err, &refused) {
			return
		}
	}
	t.Errorf("1,000 lines were charged %d bytes, want more than the limit", c.charged.Load())
}
