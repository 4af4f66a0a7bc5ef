package rawserver

import (
	"net"
	"testing"
)

// Listen starts a server that calls serve for each connection, in a goroutine of its own,
// and closes the connection afterwards. It returns the server's address and is closed
// with the test. addr may have the port 0.
func Listen(t testing.TB, addr string, serve func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}
