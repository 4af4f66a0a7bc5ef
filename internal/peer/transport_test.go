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

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for " + what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against compressed streams that lose, reorder or hold back messages,
// and against a stream that costs as much as plain messages.
func TestMessagesArriveOverBothKindsOfConnection(t *testing.T) {
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
		t.Errorf("compressed %d bytes, plain %d", sent[true], sent[false])
	}
}

// Guards against a node that keeps writing to a connection that is open but no
// longer delivers anything.
func TestSilentConnectionIsReplaced(t *testing.T) {
	got := make(chan struct{}, 1000)
	to, _ := listen(t, func(message.Message) { got <- struct{}{} })
	between, err := standin.Listen("127.0.0.1:0", to.Addr(), func(net.Addr) time.Duration { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(between.Close)
	from, rec := listen(t, func(message.Message) {})
	send := func() {
		from.Send(effect.Send{Addr: between.Addr(), Message: &message.Announce{VM: "a"}})
	}
	send()
	<-got
	between.DropData(true)
	eventually(t, "the silent connection to be counted", func() bool { send(); return rec.silent.Load() > 0 })
	between.DropData(false)
	for len(got) > 0 {
		<-got
	}
	eventually(t, "a message over a new connection", func() bool { send(); return len(got) > 0 })
}

// Guards against a peer that makes the node reserve memory for a message of any
// length, and against malformed messages that nobody counts.
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
			eventually(t, "the message to be counted", func() bool { return rec.malformed.Load() == 1 })
			if !c.closes {
				return
			}
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			if _, err := conn.Read(make([]byte, 1)); err == nil || isTimeout(err) {
				t.Errorf("the connection stayed open: %v", err)
			}
		})
	}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// Guards against reconnect storms: a dead peer is dialled at a bounded rate,
// however many messages are sent to it.
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
		t.Errorf("%d connections in two seconds to a peer that closes each at once", n)
	}
}
