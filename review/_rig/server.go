package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slots = 6
	// shortBody is the longest body that a server reads before it handles the request.
	shortBody = 100_000
)

// server is a stand-in for an application server. It serves one request at a time
// on a connection. It is safe for concurrent use.
type server struct {
	bed         *bed
	id, service string
	addr, zone  string
	// handle answers a request whose head was read. It returns false to close the
	// connection.
	handle func(c *serverConn, r *http.Request) bool
	mu     sync.Mutex
	l      net.Listener
	conns  map[net.Conn]bool
	born   int64
}

// serverConn is a connection of a server.
type serverConn struct {
	net.Conn
	br *bufio.Reader
	s  *server
	// n numbers the connection for the record.
	n int64
	// last is the attempt id of the request before, for the record.
	last string
}

// newServer starts a server beside a node and registers it.
func (b *bed) newServer(n *node, id string, handle func(c *serverConn, r *http.Request) bool) (*server, error) {
	s := &server{bed: b, id: id, service: n.service, addr: n.addr(serverPort), zone: n.zone, handle: handle, conns: map[net.Conn]bool{}}
	return s, s.start()
}

// start opens the server's address and registers it as ready.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.l, s.born = l, time.Now().UnixMilli()
	s.mu.Unlock()
	s.register("ready")
	go s.accept(l)
	return nil
}

func (s *server) register(state string) {
	s.bed.store.put("servers/"+s.id, map[string]any{
		"address": s.addr, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": slots},
		"status": map[string]any{"state": state, "sequence": 1, "cold_remaining_ms": 0},
	})
}

// crash closes the listener and all connections.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.l.Close()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (s *server) accept(l net.Listener) {
	for n := int64(1); ; n++ {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c, n)
	}
}

func (s *server) serve(c net.Conn, n int64) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	sc := &serverConn{Conn: c, br: bufio.NewReader(c), s: s, n: n}
	for {
		head, err := sc.br.Peek(1)
		if err != nil || len(head) == 0 {
			return
		}
		r, err := http.ReadRequest(sc.br)
		if err != nil {
			s.bed.rec.log("server %s conn %d: bytes that are no request after %s: %v", s.id, n, sc.last, err)
			return
		}
		if want := r.Header.Get("X-Filbertpier-Expected-Instance"); want != "" && want != s.id {
			_, _ = io.Copy(io.Discard, r.Body)
			sc.answer(r, 421, map[string]string{"X-Filbertpier-Instance-Id": s.id, "X-Filbertpier-Not-Executed": "1"}, nil)
			continue
		}
		if r.ContentLength > 0 && r.ContentLength <= shortBody {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		if !s.handle(sc, r) {
			return
		}
		sc.last = attemptID(r)
	}
}

func attemptID(r *http.Request) string { return r.Header.Get("X-Filbertpier-Attempt-Id") }

// answer writes a response with a length.
func (c *serverConn) answer(r *http.Request, status int, header map[string]string, body []byte) {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nX-Filbertpier-Attempt-Id: %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), attemptID(r), len(body))
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	b.WriteString("\r\n")
	_, _ = c.Write(append([]byte(b.String()), body...))
}

// sealed is the header of a response that the server gives as its own.
func (c *serverConn) sealed(r *http.Request, body []byte) map[string]string {
	return map[string]string{"X-Filbertpier-Response-Seal": c.s.id + "." + attemptID(r) + "." + strconv.Itoa(len(body))}
}

// notExecuted is the header of a response to a request that the server did not run.
func notExecuted() map[string]string { return map[string]string{"X-Filbertpier-Not-Executed": "1"} }
