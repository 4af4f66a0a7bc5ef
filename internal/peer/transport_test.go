package peer

import (
	"encoding/binary"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/message"
	standin "github.com/filbertpier/filbertpier/internal/standin/link"
)

// Guards against goroutines that outlive their transport or link.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func listen(t *testing.T, receive Receiver) (*Transport, *trafficRecorder) {
	t.Helper()
	rec := &trafficRecorder{}
	tr, err := Listen("127.0.0.1:0", "", rec, receive)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tr.Close)
	return tr, rec
}

func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for " + description)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against plain or compressed connections that lose, reorder or delay
// messages, and against compression that saves less than two thirds.
func TestMessagesArrivePlainAndCompressed(t *testing.T) {
	const count = 200
	sent := map[bool]int64{}
	for _, cross := range []bool{false, true} {
		got := make(chan uint64, count)
		to, _ := listen(t, func(m message.Message) { got <- m.(*message.Heartbeat).From.Boot })
		from, rec := listen(t, func(message.Message) {})
		for i := range uint64(count) {
			hb := &message.Heartbeat{}
			hb.From.VM, hb.From.Boot = "vm-with-a-longer-name", i
			from.Send(effect.Send{Addr: to.Addr(), CrossRegion: cross, Message: hb})
			select {
			case boot := <-got:
				if boot != i {
					t.Fatalf("cross-region %v: message %d arrived as %d", cross, i, boot)
				}
			case <-time.After(5 * time.Second):
				t.Fatalf("cross-region %v: message %d did not arrive", cross, i)
			}
		}
		sent[cross] = rec.bytes.Load()
	}
	if 3*sent[true] > sent[false] {
		t.Errorf("sent %d bytes compressed and %d plain, want at most a third", sent[true], sent[false])
	}
}

// Guards against a node that keeps writing to a connection that is open but no
// longer delivers anything.
func TestSilentConnectionIsReplaced(t *testing.T) {
	got := make(chan struct{}, 1000)
	to, _ := listen(t, func(message.Message) { got <- struct{}{} })
	proxy, err := standin.Listen("127.0.0.1:0", to.Addr(), func(net.Addr) time.Duration { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	from, rec := listen(t, func(message.Message) {})
	send := func() {
		from.Send(effect.Send{Addr: proxy.Addr(), Message: &message.Announce{VM: "a"}})
	}
	send()
	<-got
	proxy.DropData(true)
	waitUntil(t, "the silent connection to be counted", func() bool { send(); return rec.silent.Load() > 0 })
	proxy.DropData(false)
	for len(got) > 0 {
		<-got
	}
	waitUntil(t, "a message over a new connection", func() bool { send(); return len(got) > 0 })
}

// Guards against a peer that makes the node allocate memory for a message of any
// length, and against malformed messages that are delivered or not counted.
func TestBadMessagesAreCounted(t *testing.T) {
	frame := func(s string) []byte { return append(binary.AppendUvarint(nil, uint64(len(s))), s...) }
	for name, c := range map[string]struct {
		data   []byte
		closes bool
	}{
		"oversized":    {binary.AppendUvarint(nil, maxMessageBytes+1), true},
		"not JSON":     {frame("{nonsense"), true},
		"unknown kind": {frame(`{"jsonrpc":"2.0","method":"nonsense","params":{}}`), false},
		"wrong params": {frame(`{"jsonrpc":"2.0","method":"heartbeat","params":{"from":7}}`), false},
		"no params":    {frame(`{"jsonrpc":"2.0","method":"announce"}`), false},
	} {
		t.Run(name, func(t *testing.T) {
			to, rec := listen(t, func(message.Message) { t.Error("a bad message was delivered") })
			conn, err := net.Dial("tcp", to.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := conn.Write(c.data); err != nil {
				t.Fatal(err)
			}
			waitUntil(t, "the message to be counted", func() bool { return rec.malformed.Load() == 1 })
			if !c.closes {
				return
			}
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			if _, err := conn.Read(make([]byte, 1)); err == nil || isTimeout(err) {
				t.Errorf("the connection was not closed: reading returned %v", err)
			}
		})
	}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// Guards against reconnect storms: a peer that closes each connection at once is
// dialled at a bounded rate, however many messages are sent to it.
func TestReconnectsAreBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan struct{}, 1000)
	go func() {
		defer close(accepted)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			_ = c.Close()
		}
	}()
	from, _ := listen(t, func(message.Message) {})
	end := time.Now().Add(2 * time.Second)
	for time.Now().Before(end) {
		from.Send(effect.Send{Addr: l.Addr().String(), Message: &message.Announce{VM: "a"}})
		time.Sleep(time.Millisecond)
	}
	_ = l.Close()
	n := 0
	for range accepted {
		n++
	}
	if n == 0 || n > 15 {
		t.Errorf("%d connections in 2 s to a peer that closes each at once, want 1 to 15", n)
	}
}
