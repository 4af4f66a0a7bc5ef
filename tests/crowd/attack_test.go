//go:build crowd

package crowd

import (
	"fmt"
	"io"
	"net"
	"strings"
)

// target is where the connections of a crowd send their requests.
type target struct {
	addr, host, path string
}

// attack is what each connection of a crowd does. The connection then stays open, with
// nothing read, until the test has ended.
type attack struct {
	name string
	// send writes to a connection. Errors end it: the node may close the connection.
	send func(w io.Writer, t target)
	// connections is the size of the crowd; zero selects crowdSize.
	connections int
}

const (
	// bodyBytes is the largest legal body by the limits of the test's configuration.
	bodyBytes = 1 << 20
	// headBytes is nearly the largest head that nodes read.
	headBytes  = 60 << 10
	chunkBytes = 16 << 10
	pieceBytes = 1 << 10
	// sentAhead is the number of requests that are sent on a connection without reading
	// a response.
	sentAhead = 2000
	// farOverLimit is a length far beyond the limit of bodies, of which
	// farOverLimitSent is sent.
	farOverLimit     = 1 << 40
	farOverLimitSent = 8 << 20
)

// attacks lists what crowds do to any listener that serves HTTP.
var attacks = []attack{
	{name: "body in one piece", send: func(w io.Writer, t target) {
		_, _ = io.WriteString(w, head(t, "POST", lengthHeader(bodyBytes))+strings.Repeat("x", bodyBytes-1))
	}},
	{name: "body in small pieces", send: func(w io.Writer, t target) {
		_, _ = io.WriteString(w, head(t, "POST", lengthHeader(bodyBytes)))
		repeat(w, strings.Repeat("x", pieceBytes), bodyBytes/pieceBytes-1)
	}},
	{name: "body in chunks", send: func(w io.Writer, t target) {
		_, _ = io.WriteString(w, head(t, "POST", chunkedHeader))
		repeat(w, chunk(strings.Repeat("x", chunkBytes)), bodyBytes/chunkBytes-1)
	}},
	{name: "body in one chunk", send: func(w io.Writer, t target) {
		_, _ = fmt.Fprintf(w, "%s%x\r\n%s", head(t, "POST", chunkedHeader), bodyBytes, strings.Repeat("x", bodyBytes-1))
	}},
	{name: "announced body far over the limit", send: func(w io.Writer, t target) {
		_, _ = io.WriteString(w, head(t, "POST", lengthHeader(farOverLimit)))
		repeat(w, strings.Repeat("x", chunkBytes), farOverLimitSent/chunkBytes)
	}},
	{name: "chunked body far over the limit", send: func(w io.Writer, t target) {
		_, _ = io.WriteString(w, head(t, "POST", chunkedHeader))
		repeat(w, chunk(strings.Repeat("x", chunkBytes)), farOverLimitSent/chunkBytes)
	}},
	{name: "heads of short fields that do not end", send: func(w io.Writer, t target) {
		_, _ = io.WriteString(w, strings.TrimSuffix(head(t, "GET", shortFields(headBytes)), "\r\n"))
	}},
	{name: "heads of short fields before a body that does not end", send: func(w io.Writer, t target) {
		_, _ = io.WriteString(w, head(t, "POST", shortFields(headBytes)+lengthHeader(1000))+"x")
	}},
	{name: "trailers of short fields", send: func(w io.Writer, t target) {
		_, _ = io.WriteString(w, head(t, "POST", chunkedHeader)+chunk("x")+"0\r\n")
		repeat(w, shortFields(chunkBytes), farOverLimitSent/chunkBytes)
	}},
	{name: "chunk extensions", send: func(w io.Writer, t target) {
		_, _ = io.WriteString(w, head(t, "POST", chunkedHeader)+"1;")
		repeat(w, strings.Repeat("e", chunkBytes), farOverLimitSent/chunkBytes)
	}},
	{name: "requests sent ahead", send: func(w io.Writer, t target) {
		repeat(w, head(t, "GET", ""), sentAhead)
	}},
	{name: "half a head", send: func(w io.Writer, t target) {
		_, _ = io.WriteString(w, "GET "+t.path+" HTTP/1.1\r\nHost: "+t.host+"\r\nX-Half")
	}},
	{name: "idle connections", send: func(io.Writer, target) {}, connections: 3 * crowdSize},
}

// slowReaders ask for long responses and do not read them.
var slowReaders = attack{name: "slow readers", send: func(w io.Writer, t target) {
	_, _ = io.WriteString(w, head(t, "GET", ""))
}}

const chunkedHeader = "Transfer-Encoding: chunked\r\n"

func lengthHeader(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

// head returns the head of a request with further header lines.
func head(t target, method, lines string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: a\r\n%s\r\n", method, t.path, t.host, headerNames.AttemptID, lines)
}

// shortFields returns distinct header fields with empty values, n bytes in all.
func shortFields(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n-10; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// repeat writes a text n times, or until the first error.
func repeat(w io.Writer, text string, n int) {
	for range n {
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
	}
}

// open opens a connection to a target; nil if the node refuses it.
func (t target) open() net.Conn {
	c, err := net.DialTimeout("tcp", t.addr, dialTimeout)
	if err != nil {
		return nil
	}
	// What the node does not read must not keep the attack from going on.
	_ = c.(*net.TCPConn).SetWriteBuffer(chunkBytes)
	return c
}
