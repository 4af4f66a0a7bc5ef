package disconnect

import (
	"context"
	"net"
	"testing"
	"time"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (client *net.TCPConn, server *Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), s.Close() })
	return c.(*net.TCPConn), FromContext(ConnContext(context.Background(), s))
}

func awaitClosed(t *testing.T, c *Conn) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !c.Closed(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the connection counts as open 5 s after the client has closed it")
		}
	}
}

// Guards against missing a close behind bytes that are not read yet, and against
// taking a client for gone that only sends more.
func TestCloseIsSeenBehindUnreadBytes(t *testing.T) {
	leave := map[string]func(*net.TCPConn){
		"close":       func(c *net.TCPConn) { _ = c.Close() },
		"close write": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"reset":       func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() },
	}
	for name, leaveBy := range leave {
		for _, unread := range []string{"", "unread"} {
			t.Run(name+" "+unread, func(t *testing.T) {
				client, server := connect(t)
				if _, err := client.Write([]byte(unread)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(10 * time.Millisecond)
				if server.Closed() {
					t.Error("the connection counts as closed before the client has closed it")
				}
				leaveBy(client)
				awaitClosed(t, server)
			})
		}
	}
}

// Guards against refusing all calls of a server that does not pass connections on.
func TestClientOfUnknownConnectionCountsAsConnected(t *testing.T) {
	if FromContext(context.Background()).Closed() {
		t.Error("a client whose connection is unknown counts as disconnected")
	}
}
